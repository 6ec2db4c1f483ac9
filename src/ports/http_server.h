// An HTTP server on libmicrohttpd. The handler gets complete requests on the server's threads; a reply may be sent at
// any time from any thread.
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
  uint16_t port = 0;                    // 0 selects any free port.
  unsigned connection_limit = 12'000;   // Open connections; close to it, the longest idle ones are closed.
  unsigned idle_timeout_s = 30;         // A connection without traffic is closed after this time.
  Duration request_timeout = 30s;       // Time for a complete request to arrive, however slowly its bytes come.
  Duration first_request_timeout = 1s;  // While draining: time for an unused connection to send its first request.
  size_t body_limit = 1'048'576;        // Bytes; a larger body is answered with 413.
  size_t header_limit = 32'768;         // Bytes per connection; larger headers are answered with 431.
  unsigned threads = 2;
  std::vector<std::string> captured_headers;  // Names of the headers that are copied into HttpRequest.
};

struct HttpRequest {
  std::string method;
  std::string path;  // Without the query.
  std::string body;
  std::map<std::string, std::string> headers = {};  // Captured headers that are present, keyed as in captured_headers.
};

struct HttpReply {
  int status = 200;
  std::string body;
  std::string content_type = "application/json";
  int retry_after_s = 0;  // 0: no Retry-After header.
};

class HttpServer {
 public:
  using ExchangeId = uint64_t;
  // Must not block. Each exchange must be answered by exactly one call of Reply.
  using Handler = std::function<void(ExchangeId, const HttpRequest&)>;

  // Throws std::runtime_error if the port cannot be opened.
  HttpServer(const HttpServerOptions& options, Handler handler);
  // Closes the connections of requests without a reply. Only the handler's owner knows what has become of them, so a
  // status that says more than that must come from a Reply before.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void Reply(ExchangeId exchange, HttpReply reply);

  // Makes each later reply close its connection, so that callers reconnect to other hosts.
  void CloseAfterReplies();
  // Stops accepting connections, waits at most `limit` until every request that has started, or that still arrives on
  // an open connection, is answered, and closes the connections. A caller that sends on a keep-alive connection just as
  // the server closes it gets no answer, so callers and load balancers must have moved away before.
  void Drain(Duration limit);

  size_t open_connections() const;
  uint16_t port() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_PORTS_HTTP_SERVER_H_
