#include "ports/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>

#include <fmt/core.h>

#include "ports/connection_guard.h"

namespace hibiscus {

namespace {

constexpr std::chrono::milliseconds kSweepInterval(100);
constexpr std::chrono::milliseconds kDrainPollInterval(5);
// A tenth of the connections is reserved for callers that send requests.
constexpr unsigned kReservedConnectionDivisor = 10;
constexpr size_t kUnreadBodyFactor = 16;  // A body longer than this many times the limit is refused unread.

constexpr char kTooLargeBody[] = R"({"code":505,"name":"too_large","verdict":"not_run"})";

struct Exchange {
  HttpServer::ExchangeId id = 0;
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  HttpReply reply;
  bool dispatched = false;
  bool too_large = false;
  bool abandoned = false;  // The server stops: the connection is closed without an answer.
};

size_t DeclaredContentLength(MHD_Connection* connection) {
  const char* text = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
  return text == nullptr ? 0 : std::strtoull(text, nullptr, 10);
}

MHD_Result QueueReply(MHD_Connection* connection, const HttpReply& reply, bool close) {
  auto* body = const_cast<char*>(reply.body.data());  // NOLINT: libmicrohttpd takes a non-const pointer and copies.
  MHD_Response* response = MHD_create_response_from_buffer(reply.body.size(), body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.content_type.c_str());
  if (reply.retry_after_s > 0) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(reply.retry_after_s).c_str());
  }
  if (close) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
  }
  const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

struct HttpServer::State {
  explicit State(const HttpServerOptions& server_options)
      : options(server_options),
        guard(ConnectionLimits{options.request_timeout,
                               options.connection_limit - options.connection_limit / kReservedConnectionDivisor},
              clock) {}

  const HttpServerOptions options;
  SteadyClock clock;
  ConnectionGuard guard;
  std::atomic<bool> close_after_replies{false};
  std::mutex sweep_mutex;
  std::condition_variable sweep_wake;
  bool stopping = false;  // Guarded by sweep_mutex.
  std::thread sweeper;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::atomic<ExchangeId> next_id{1};
  std::mutex mutex;
  std::map<ExchangeId, Exchange*> unanswered;  // Dispatched to the handler, no reply yet. Guarded by mutex.
  bool dispatching = true;                     // Guarded by mutex.

  static MHD_Result OnAccess(void* cls,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             size_t* size,
                             void** context);
  static void OnCompleted(void* cls, MHD_Connection* connection, void** context, MHD_RequestTerminationCode code);
  static void OnConnection(void* cls, MHD_Connection* connection, void** context, MHD_ConnectionNotificationCode code);
  static void* OnRequestLine(void* cls, const char* url, MHD_Connection* connection);
  MHD_Result OnHeaders(MHD_Connection* connection, const char* url, const char* method, void** context);
  void Sweep();
  // Passes the request to the handler. Returns false if it must not be, and its connection is to be closed.
  bool Dispatch(Exchange& exchange);
  void AcceptPending(int listener);
};

MHD_Result HttpServer::State::OnAccess(void* cls,
                                       MHD_Connection* connection,
                                       const char* url,
                                       const char* method,
                                       const char* /*version*/,
                                       const char* data,
                                       size_t* size,
                                       void** context) {
  auto* state = static_cast<State*>(cls);
  if (*context == nullptr) {
    return state->OnHeaders(connection, url, method, context);
  }
  auto* exchange = static_cast<Exchange*>(*context);
  if (*size > 0) {
    exchange->too_large = exchange->too_large || exchange->request.body.size() + *size > state->options.body_limit;
    if (!exchange->too_large) {
      exchange->request.body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  if (exchange->too_large) {
    return QueueReply(connection, HttpReply{413, kTooLargeBody}, true);
  }
  if (exchange->abandoned) {
    return MHD_NO;  // Closes the connection.
  }
  if (exchange->dispatched) {
    return QueueReply(connection, exchange->reply, state->close_after_replies);
  }
  return state->Dispatch(*exchange) ? MHD_YES : MHD_NO;
}

MHD_Result HttpServer::State::OnHeaders(MHD_Connection* connection,
                                        const char* url,
                                        const char* method,
                                        void** context) {
  if (DeclaredContentLength(connection) > kUnreadBodyFactor * options.body_limit) {
    return QueueReply(connection, HttpReply{413, kTooLargeBody}, true);
  }
  auto* exchange = new Exchange;
  exchange->id = next_id++;
  exchange->connection = connection;
  exchange->request.method = method;
  exchange->request.path = url;
  for (const std::string& name : options.captured_headers) {
    const char* value = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, name.c_str());
    if (value != nullptr) {
      exchange->request.headers[name] = value;
    }
  }
  *context = exchange;
  return MHD_YES;
}

void HttpServer::State::OnConnection(void* cls,
                                     MHD_Connection* connection,
                                     void** /*context*/,
                                     MHD_ConnectionNotificationCode code) {
  auto* state = static_cast<State*>(cls);
  if (code == MHD_CONNECTION_NOTIFY_CLOSED) {
    state->guard.OnConnectionClosed(connection);
    return;
  }
  const MHD_ConnectionInfo* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (info != nullptr) {
    state->guard.OnConnectionOpened(connection, info->connect_fd);
  }
}

// Returns the initial value of the request's context pointer: null, until the headers are complete.
void* HttpServer::State::OnRequestLine(void* cls, const char* /*url*/, MHD_Connection* connection) {
  static_cast<State*>(cls)->guard.OnRequestStarted(connection);
  return nullptr;
}

void HttpServer::State::Sweep() {
  std::unique_lock lock(sweep_mutex);
  while (!sweep_wake.wait_for(lock, kSweepInterval, [&] { return stopping; })) {
    guard.Sweep();
  }
}

bool HttpServer::State::Dispatch(Exchange& exchange) {
  exchange.dispatched = true;
  if (!guard.OnRequestReceived(exchange.connection)) {
    return false;  // Its caller was told that nothing ran.
  }
  {
    const std::lock_guard lock(mutex);
    if (!dispatching) {
      return false;
    }
    MHD_suspend_connection(exchange.connection);
    unanswered[exchange.id] = &exchange;
  }
  handler(exchange.id, exchange.request);
  return true;
}

void HttpServer::State::OnCompleted(void* cls,
                                    MHD_Connection* connection,
                                    void** context,
                                    MHD_RequestTerminationCode /*code*/) {
  auto* state = static_cast<State*>(cls);
  state->guard.OnRequestCompleted(connection);
  auto* exchange = static_cast<Exchange*>(*context);
  if (exchange == nullptr) {
    return;
  }
  {
    const std::lock_guard lock(state->mutex);
    state->unanswered.erase(exchange->id);
  }
  delete exchange;
  *context = nullptr;
}

// Accepts connections that are still in the kernel's backlog: closing the listening socket would reset them.
void HttpServer::State::AcceptPending(int listener) {
  while (true) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const int socket = accept4(listener, reinterpret_cast<sockaddr*>(&address), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0) {
      return;
    }
    MHD_add_connection(daemon, socket, reinterpret_cast<sockaddr*>(&address), size);  // Closes the socket on failure.
  }
}

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler) : state_(std::make_unique<State>(options)) {
  state_->handler = std::move(handler);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error(fmt::format("'{}' is not an IPv4 address", options.address));
  }
  const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  state_->daemon = MHD_start_daemon(flags, options.port, nullptr, nullptr, &State::OnAccess, state_.get(),  //
                                    MHD_OPTION_SOCK_ADDR, &address,                                         //
                                    MHD_OPTION_THREAD_POOL_SIZE, options.threads,                           //
                                    MHD_OPTION_CONNECTION_LIMIT, options.connection_limit,                  //
                                    MHD_OPTION_CONNECTION_TIMEOUT, options.idle_timeout_s,                  //
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.header_limit,               //
                                    MHD_OPTION_NOTIFY_COMPLETED, &State::OnCompleted, state_.get(),         //
                                    MHD_OPTION_NOTIFY_CONNECTION, &State::OnConnection, state_.get(),       //
                                    MHD_OPTION_URI_LOG_CALLBACK, &State::OnRequestLine, state_.get(),       //
                                    MHD_OPTION_END);
  if (state_->daemon == nullptr) {
    throw std::runtime_error(fmt::format("cannot listen on {}:{}", options.address, options.port));
  }
  state_->sweeper = std::thread([state = state_.get()] { state->Sweep(); });
}

HttpServer::~HttpServer() {
  {
    const std::lock_guard lock(state_->sweep_mutex);
    state_->stopping = true;
  }
  state_->sweep_wake.notify_one();
  state_->sweeper.join();
  {
    const std::lock_guard lock(state_->mutex);
    state_->dispatching = false;
    for (const auto& [id, exchange] : state_->unanswered) {
      exchange->abandoned = true;
      MHD_resume_connection(exchange->connection);
    }
    state_->unanswered.clear();
  }
  MHD_stop_daemon(state_->daemon);
}

void HttpServer::Reply(ExchangeId exchange, HttpReply reply) {
  const std::lock_guard lock(state_->mutex);
  const auto found = state_->unanswered.find(exchange);
  if (found == state_->unanswered.end()) {
    return;
  }
  found->second->reply = std::move(reply);
  MHD_resume_connection(found->second->connection);
  state_->unanswered.erase(found);
}

void HttpServer::CloseAfterReplies() {
  state_->close_after_replies = true;
}

void HttpServer::Drain(Duration limit) {
  const int listener = MHD_quiesce_daemon(state_->daemon);
  if (listener >= 0) {
    state_->AcceptPending(listener);
    close(listener);
  }
  const TimePoint deadline = state_->clock.Now() + limit;
  while (state_->guard.open_connections() > 0 && state_->clock.Now() < deadline) {
    state_->guard.ShutDownUnused(state_->options.first_request_timeout);
    std::this_thread::sleep_for(kDrainPollInterval);
  }
}

size_t HttpServer::open_connections() const {
  return state_->guard.open_connections();
}

uint16_t HttpServer::port() const {
  const MHD_DaemonInfo* info = MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? state_->options.port : info->port;
}

}  // namespace hibiscus
