// An HTTP client on libcurl: one thread, many concurrent calls, keep-alive connections, whose number to each address
// can be bounded.
#ifndef HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_
#define HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/messages.h"
#include "hibiscusstand/connection_budget.h"

namespace hibiscus {

struct HttpClientOptions {
  ConnectionLimits connections;              // To each address.
  std::chrono::seconds idle_timeout = 118s;  // An idle connection is closed after this time; libcurl's default.
};

struct HttpCall {
  std::string method = "POST";
  std::string url;
  std::string body;
  Duration timeout = 1s;
  std::vector<std::string> headers = {};  // "Name: value", in addition to Content-Type.
  bool urgent = false;                    // See ConnectionLimits.
};

struct HttpResult {
  Delivery delivery = Delivery::kUnknown;  // If kAnswered, `status` and the complete `body` are set.
  int status = 0;
  std::string body;
  UnansweredReason reason = UnansweredReason::kSilence;
};

// Connections of a client, of all addresses.
struct HttpConnectionCounts {
  uint64_t opened = 0;     // Since the client was created.
  uint64_t refused = 0;    // Of `opened`: see UnansweredReason.
  size_t open = 0;         // Now.
  size_t open_to_one = 0;  // Now, to the address with the most.

  friend auto operator<=>(const HttpConnectionCounts&, const HttpConnectionCounts&) = default;
};

class HttpClient {
 public:
  // Called once for each call, on the client's thread. Must not block.
  using Done = std::function<void(HttpResult)>;

  explicit HttpClient(const HttpClientOptions& options = {});
  ~HttpClient();  // Calls in flight end with Delivery::kUnknown.
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  void Send(HttpCall call, Done done);
  // Closes all connections as soon as no call is in flight; later calls open new ones. Returns before that is done.
  void CloseConnections();
  HttpConnectionCounts connection_counts() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Sends one call and blocks until its result. For command-line tools.
HttpResult HttpFetch(const HttpCall& call);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_HTTP_CLIENT_H_
