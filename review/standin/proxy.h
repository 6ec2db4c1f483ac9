// A TCP proxy that can fall silent: while it is cut, bytes wait and nothing is reset, as on a partitioned link.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_PROXY_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_PROXY_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <thread>

namespace review {

class Proxy {
 public:
  // Listens on ip:port and forwards to the target, "ip:port". Throws std::runtime_error if it cannot listen.
  Proxy(const std::string& ip, uint16_t port, const std::string& target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  void SetCut(bool cut) { cut_ = cut; }

 private:
  void AcceptLoop();
  void Forward(int client);

  const std::string target_;
  int listener_ = -1;
  std::atomic<bool> cut_{false};
  std::atomic<bool> stopping_{false};
  std::atomic<int> forwarding_{0};
  std::thread acceptor_;
};

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_PROXY_H_
