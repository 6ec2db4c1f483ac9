#include "ports/http_server.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <atomic>
#include <map>
#include <mutex>
#include <stdexcept>

#include <fmt/core.h>

namespace hibiscus {

namespace {

struct Exchange {
  HttpServer::ExchangeId id = 0;
  MHD_Connection* connection = nullptr;
  HttpRequest request;
  HttpReply reply;
  bool handed_over = false;
  bool too_large = false;
  bool replied = false;
};

MHD_Result QueueReply(MHD_Connection* connection, const HttpReply& reply) {
  auto* body = const_cast<char*>(reply.body.data());  // NOLINT: the library takes it non-const and copies it.
  MHD_Response* response = MHD_create_response_from_buffer(reply.body.size(), body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE, reply.content_type.c_str());
  if (reply.retry_after_s > 0) {
    MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER, std::to_string(reply.retry_after_s).c_str());
  }
  const MHD_Result result = MHD_queue_response(connection, static_cast<unsigned>(reply.status), response);
  MHD_destroy_response(response);
  return result;
}

}  // namespace

struct HttpServer::State {
  HttpServerOptions options;
  Handler handler;
  MHD_Daemon* daemon = nullptr;
  std::atomic<ExchangeId> next_id{1};
  std::mutex mutex;
  std::map<ExchangeId, Exchange*> open;  // Handed over, not replied to yet.

  static MHD_Result OnAccess(void* cls,
                             MHD_Connection* connection,
                             const char* url,
                             const char* method,
                             const char* version,
                             const char* data,
                             size_t* size,
                             void** slot);
  static void OnCompleted(void* cls, MHD_Connection* connection, void** slot, MHD_RequestTerminationCode code);
  void HandOver(Exchange& exchange);
};

MHD_Result HttpServer::State::OnAccess(void* cls,
                                       MHD_Connection* connection,
                                       const char* url,
                                       const char* method,
                                       const char* /*version*/,
                                       const char* data,
                                       size_t* size,
                                       void** slot) {
  auto* state = static_cast<State*>(cls);
  if (*slot == nullptr) {
    auto* fresh = new Exchange;
    fresh->id = state->next_id++;
    fresh->connection = connection;
    fresh->request.method = method;
    fresh->request.path = url;
    *slot = fresh;
    return MHD_YES;
  }
  auto* exchange = static_cast<Exchange*>(*slot);
  if (*size > 0) {
    exchange->too_large = exchange->too_large || exchange->request.body.size() + *size > state->options.body_limit;
    if (!exchange->too_large) {
      exchange->request.body.append(data, *size);
    }
    *size = 0;
    return MHD_YES;
  }
  if (exchange->too_large) {
    const HttpReply reply{413, R"({"code":505,"name":"too_large","verdict":"not_run"})", "application/json", 0};
    return QueueReply(connection, reply);
  }
  if (exchange->handed_over) {
    return QueueReply(connection, exchange->reply);
  }
  state->HandOver(*exchange);
  return MHD_YES;
}

void HttpServer::State::HandOver(Exchange& exchange) {
  exchange.handed_over = true;
  MHD_suspend_connection(exchange.connection);
  {
    const std::lock_guard lock(mutex);
    open[exchange.id] = &exchange;
  }
  handler(exchange.id, exchange.request);
}

void HttpServer::State::OnCompleted(void* cls,
                                    MHD_Connection* /*connection*/,
                                    void** slot,
                                    MHD_RequestTerminationCode /*code*/) {
  auto* state = static_cast<State*>(cls);
  auto* exchange = static_cast<Exchange*>(*slot);
  if (exchange == nullptr) {
    return;
  }
  {
    const std::lock_guard lock(state->mutex);
    state->open.erase(exchange->id);
  }
  delete exchange;
  *slot = nullptr;
}

HttpServer::HttpServer(const HttpServerOptions& options, Handler handler) : state_(std::make_unique<State>()) {
  state_->options = options;
  state_->handler = std::move(handler);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(options.port);
  if (inet_pton(AF_INET, options.address.c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error(fmt::format("'{}' is no IPv4 address", options.address));
  }
  const unsigned flags = MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME;
  state_->daemon = MHD_start_daemon(flags, options.port, nullptr, nullptr, &State::OnAccess, state_.get(),  //
                                    MHD_OPTION_SOCK_ADDR, &address,                                         //
                                    MHD_OPTION_THREAD_POOL_SIZE, options.threads,                           //
                                    MHD_OPTION_CONNECTION_LIMIT, options.connection_limit,                  //
                                    MHD_OPTION_CONNECTION_TIMEOUT, options.idle_timeout_s,                  //
                                    MHD_OPTION_CONNECTION_MEMORY_LIMIT, options.header_limit,               //
                                    MHD_OPTION_NOTIFY_COMPLETED, &State::OnCompleted, state_.get(),         //
                                    MHD_OPTION_END);
  if (state_->daemon == nullptr) {
    throw std::runtime_error(fmt::format("cannot listen on {}:{}", options.address, options.port));
  }
}

HttpServer::~HttpServer() {
  {
    const std::lock_guard lock(state_->mutex);
    for (const auto& [id, exchange] : state_->open) {
      exchange->reply = HttpReply{503, R"({"code":206,"name":"host_leaving","verdict":"unknown"})"};
      MHD_resume_connection(exchange->connection);
    }
    state_->open.clear();
  }
  MHD_stop_daemon(state_->daemon);
}

void HttpServer::Reply(ExchangeId exchange, HttpReply reply) {
  const std::lock_guard lock(state_->mutex);
  const auto found = state_->open.find(exchange);
  if (found == state_->open.end()) {
    return;
  }
  found->second->reply = std::move(reply);
  MHD_resume_connection(found->second->connection);
  state_->open.erase(found);
}

uint16_t HttpServer::port() const {
  const MHD_DaemonInfo* info = MHD_get_daemon_info(state_->daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == nullptr ? state_->options.port : info->port;
}

}  // namespace hibiscus
