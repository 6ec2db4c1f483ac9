// A small HTTP/1.1 server and client for the stand-ins: one thread a connection, bodies with Content-Length.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_HTTP_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_HTTP_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace review {

struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct HttpResponse {
  int status = 200;
  std::string body = "{}";
  bool silent = false;  // No answer; the connection stays open until the caller closes it.
};

// Serves one address. The handler may block; it runs on the thread of its connection.
class HttpServer {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  // Port 0: any free port. Throws std::runtime_error if it cannot listen.
  HttpServer(const std::string& ip, uint16_t port, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  uint16_t port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  // While down, open connections are reset and new ones are closed at once.
  void SetDown(bool down);

 private:
  void AcceptLoop();
  void Serve(int socket);
  void CloseAll();

  const std::string ip_;
  uint16_t port_ = 0;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::atomic<bool> down_{false};
  std::atomic<int> serving_{0};
  std::mutex mutex_;
  std::set<int> sockets_;  // Guarded by mutex_.
  std::thread acceptor_;
};

struct HttpResult {
  int status = 0;  // 0: no complete answer.
  std::string body;
};

// One request on a new connection.
HttpResult HttpCall(const std::string& address,
                    const std::string& method,
                    const std::string& path,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    int timeout_ms);

// Different ports that are free on this loopback address now.
std::vector<uint16_t> FreePorts(const std::string& ip, size_t count);

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_HTTP_H_
