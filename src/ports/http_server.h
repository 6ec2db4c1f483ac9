// An HTTP server on libmicrohttpd. Requests arrive whole, on traffic threads; replies may be given at any time from any
// thread.
#ifndef HIBISCUSSTAND_SRC_PORTS_HTTP_SERVER_H_
#define HIBISCUSSTAND_SRC_PORTS_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hibiscusstand/clock.h"

namespace hibiscus {

struct HttpServerOptions {
  std::string address = "127.0.0.1";
  uint16_t port = 0;                   // 0: any free port.
  unsigned connection_limit = 12'000;  // Open connections; near it, the longest idle ones are closed.
  unsigned idle_timeout_s = 30;        // A connection without traffic is closed after this.
  Duration request_timeout = 30s;      // A whole request must arrive within this, however its bytes drip.
  Duration first_request_timeout =
      1s;                         // While draining, a connection that is still unused must bring its request by then.
  size_t body_limit = 1'048'576;  // Bytes; more is answered with 413.
  size_t header_limit = 32'768;   // Bytes per connection; more is answered with 431.
  unsigned threads = 2;
  std::vector<std::string> captured_headers;  // Names of those that requests are handed over with.
};

struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::string body;
  std::map<std::string, std::string> headers = {};  // The wanted ones that it has, by the name as wanted.
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  int retry_after_s = 0;  // 0: no Retry-After.
};

class HttpServer {
 public:
  using ExchangeId = uint64_t;
  // Must not block. Every exchange is owed one Reply.
  using Handler = std::function<void(ExchangeId, const HttpRequest&)>;

  // Throws std::runtime_error if the port cannot be opened.
  HttpServer(const HttpServerOptions& options, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Reply(ExchangeId exchange, HttpReply reply);

  // From now on each answer closes its connection, so that callers turn to other hosts.
  void CloseAfterReplies();
  // Takes no new connections, waits until every request that has begun, or that a connection made by now still brings,
  // is answered, and closes the connections; at most `limit`. A caller that sends on a kept connection in the moment in
  // which its end is on the way loses its answer: callers and balancers must have turned away before.
  void Drain(Duration limit);

  size_t open_connections() const;
  uint16_t port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_HTTP_SERVER_H_
