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
  Duration timeout = 1s;                  // Of the whole call, unless `stall_timeout` is set.
  std::vector<std::string> headers = {};  // "Name: value", in addition to Content-Type.
  bool urgent = false;                    // See ConnectionLimits.
  bool new_connection = false;            // Not over one that was used before; it may take all of `timeout` to open.
  // If set, `timeout` is the time until the answer begins to arrive, and the call goes on while more of it arrives: it
  // ends after this time without any. A large answer over a slow link then has the time that it takes.
  Duration stall_timeout = 0us;
  // Called from time to time while an answer of more than 16 KiB arrives, on the client's thread. Must not block. May
  // be empty.
  std::function<void()> on_progress = nullptr;
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
  // `clock`: of the deadlines; BootClock by default, so that time in which the machine is suspended counts. Must
  // outlive the client, and is read on all threads.
  HttpClient(const HttpClientOptions& options, const Clock& clock);
  ~HttpClient();  // Calls in flight end with Delivery::kUnknown.
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Returns a number for Cancel. The call is not sent after its deadline, also if the process stood still meanwhile.
  uint64_t Send(HttpCall call, Done done);
  // Ends a call that was sent and has no complete answer yet, and resets its connection; `done` is called as for a lost
  // answer. Has no effect on other calls.
  void Cancel(uint64_t number);
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
