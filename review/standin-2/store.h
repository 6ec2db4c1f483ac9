// Stand-in of the platform's store, as the pages describe it.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_2_STORE_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_2_STORE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "http.h"

namespace review {

class Store {
 public:
  Store();
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const std::string& address() const { return address_; }

  // Writes of the operator and of the minions.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  // While it is silent, no call is executed or answered; the connections stay open.
  void SetSilent(bool silent);

 private:
  using Json = nlohmann::json;
  struct Item {
    std::string value;  // Base64.
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    uint64_t revision = 0;
    Json row;
    std::string key;
  };
  struct Lease {
    Millis ttl{};
    Clock::time_point ends{};
  };

  HttpResponse Serve(const HttpRequest& request);
  HttpResponse ReadKey(const HttpRequest& request);
  HttpResponse ReadRange(const HttpRequest& request);
  HttpResponse Watch(const HttpRequest& request);
  HttpResponse Commit(const HttpRequest& request);
  HttpResponse Grant(const HttpRequest& request);
  HttpResponse Keep(uint64_t lease);
  HttpResponse End(uint64_t lease);
  // The caller holds the lock.
  Json RowOf(const std::string& key, const Item& item) const;
  void Write(const std::string& key, const std::string& value, uint64_t lease);
  void Erase(const std::string& key);
  void EndLease(uint64_t lease);
  void ExpireLeases();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<uint64_t, Lease> leases_;
  uint64_t revision_ = 10;
  uint64_t last_lease_ = 1000;
  bool stopping_ = false;
  bool silent_ = false;
  std::string address_;
  HttpListener listener_;
  std::thread expiry_;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_2_STORE_H_
