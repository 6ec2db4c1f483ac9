// An HTTP client on libcurl: one thread, many concurrent calls, keep-alive connections.
#ifndef HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_
#define HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/messages.h"

namespace hibiscus {

struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::string body;
  Duration timeout = 1s;
  std::vector<std::string> headers = {};  // "Name: value", in addition to Content-Type.
};

struct HttpResult {
  Delivery delivery = Delivery::kUnknown;  // If kAnswered, `status` and the complete `body` are set.
  int status = 0;
  std::string body;
};

class HttpClient {
 public:
  // Called once for each call, on the client's thread. Must not block.
  using Done = std::function<void(HttpResult)>;

  HttpClient();
  ~HttpClient();  // Calls in flight end with Delivery::kUnknown.
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpCall call, Done done);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Sends one call and blocks until its result. For command-line tools.
HttpResult HttpFetch(const HttpCall& call);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_
