// A small HTTP/1.1 server and client for the stand-ins of the review: a thread for each connection, bodies by length.
#ifndef HIBISCUSSTAND_REVIEW_STANDIN_2_HTTP_H_
#define HIBISCUSSTAND_REVIEW_STANDIN_2_HTTP_H_

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>

namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;

struct HttpRequest {
  std::string method;
  std::string path;                            // Without the query.
  std::map<std::string, std::string> query;    // Decoded.
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;
};

struct HttpResponse {
  int status = 0;  // 0: no answer.
  std::string body;
};

// Serves one address until Stop, which resets its connections, as the end of a process does.
class HttpListener {
 public:
  using Handler = std::function<HttpResponse(const HttpRequest&)>;

  explicit HttpListener(Handler handler) : handler_(std::move(handler)) {}
  ~HttpListener() { Stop(); }
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  // Port 0 takes any free one. Returns the port.
  int Start(const std::string& ip, int port);
  void Stop();
  // The connections of a process that ends; the listening socket stays open for the next one.
  void ResetConnections();

 private:
  void Accept(int listener);
  void Serve(int socket);

  Handler handler_;
  std::mutex mutex_;
  std::condition_variable idle_;
  int listener_ = -1;
  std::set<int> sockets_;
  int threads_ = 0;
  bool stopping_ = false;
};

// A connection that a client opens before it has a request.
class ClientConnection {
 public:
  explicit ClientConnection(const std::string& address);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  // Status 0: no complete answer within `timeout`.
  HttpResponse Send(const std::string& method,
                    const std::string& path,
                    const std::map<std::string, std::string>& headers,
                    const std::string& body,
                    Millis timeout);

 private:
  int socket_ = -1;
  bool open_ = false;
  std::string buffer_;
};

// Sends one request over a new connection. Status 0: no complete answer within `timeout`.
HttpResponse Send(const std::string& address,
                  const std::string& method,
                  const std::string& path,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  Millis timeout);

// A port of this address that is free now.
int FreePort(const std::string& ip);

}  // namespace review

#endif  // HIBISCUSSTAND_REVIEW_STANDIN_2_HTTP_H_
