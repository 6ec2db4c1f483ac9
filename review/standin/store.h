// Stand-in of the platform's metadata store, and of the operator who writes to it. Each host has an address of its own
// here, so that a test can cut single hosts off.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_STORE_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_STORE_H_

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "http.h"

namespace review {

class Store {
 public:
  // Changes a value on its way to a host, by the host's number: stands for the network path of that host.
  using View = std::function<std::string(size_t host, const std::string& key, const std::string& value)>;

  explicit Store(size_t hosts);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  std::string address(size_t host) const { return servers_[host]->address(); }
  void SetView(View view);

  // Writes of the operator and of the minions.
  void Put(const std::string& key, const std::string& value);
  void Remove(const std::string& key);
  std::optional<std::string> Get(const std::string& key);

  // Calls of a host that is cut off have no effect and get no answer.
  void SetCut(size_t host, bool cut);
  // The host that last wrote under a condition; -1 before the first such write.
  int last_conditional_writer();

 private:
  struct Item {
    std::string value;
    uint64_t revision = 0;
    uint64_t created = 0;
    uint64_t lease = 0;
  };
  struct Event {
    std::string key;
    bool deleted = false;
    Item item;
  };
  struct Lease {
    std::chrono::steady_clock::time_point until;
    int ttl_ms = 0;
  };

  HttpResponse Handle(size_t host, const HttpRequest& request);
  HttpResponse ReadKey(size_t host, const std::string& key);
  HttpResponse ReadRange(size_t host, const std::string& prefix, const std::string& after);
  HttpResponse Watch(size_t host, const HttpRequest& request, std::unique_lock<std::mutex>& lock);
  HttpResponse Transact(size_t host, const nlohmann::json& body);
  HttpResponse GrantLease(const nlohmann::json& body);
  HttpResponse KeepLease(uint64_t id);
  HttpResponse EndLease(uint64_t id);
  nlohmann::json Render(size_t host, const std::string& key, const Item& item) const;
  void Write(const std::string& key, const std::string& value, uint64_t lease, uint64_t revision);
  void Erase(const std::string& key, uint64_t revision);
  void DropKeysOf(uint64_t lease);
  void ExpireLeases();
  void TickLoop();

  View view_;
  std::mutex mutex_;
  std::condition_variable changed_;
  bool stopping_ = false;
  uint64_t revision_ = 1;
  uint64_t last_lease_ = 1000;
  int last_writer_ = -1;
  std::map<std::string, Item> items_;
  std::deque<Event> events_;
  std::map<uint64_t, Lease> leases_;
  std::vector<bool> cut_;
  std::vector<std::unique_ptr<HttpServer>> servers_;
  std::thread ticker_;
};

std::string ToBase64(const std::string& bytes);
std::string FromBase64(const std::string& text);

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_STORE_H_
