#include "ports/http_client.h"

#include <curl/curl.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <future>
#include <mutex>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>
#include <vector>

#include "ports/boot_clock.h"

namespace hibiscus {

namespace {

constexpr int kMaxEpollEvents = 64;  // Events per epoll_wait.
constexpr long kMaxCachedConnections = 4096;
constexpr Duration kConnectTimeout = 800ms;
// Left of a call's timeout when it is sent after it has waited for a connection: covers the answer of a busy server.
constexpr Duration kMinAnswerTime = 250ms;
// A server that accepts a connection above its limit breaks it within a few round trips between regions.
constexpr Duration kMaxRefusalTime = 100ms;
constexpr size_t kMaxResponseBytes = size_t{16} * 1024 * 1024;  // A longer answer ends the call as kUnknown.

constexpr Duration kProgressInterval = 50ms;               // Between reports of the progress of one call.
constexpr size_t kSmallResponseBytes = size_t{16} * 1024;  // Up to which progress is not reported.
constexpr Duration kMaxTransferTime = 30s;                 // Of a call that ends after a stall.

struct Transfer {
  HttpCall call;
  HttpClient::Done done;
  const Clock* clock = nullptr;
  std::string body;
  curl_slist* headers = nullptr;
  int send_count = 0;   // How often the request was sent on a connection.
  uint64_t number = 0;  // In the connection budget.
  TimePoint deadline{};
  TimePoint latest_end{};   // If it ends after a stall.
  TimePoint reported_at{};  // When its progress was last reported.

  bool IsOverdue() const { return deadline <= clock->Now(); }
  bool ends_after_stall() const { return call.stall_timeout > Duration(0); }
};

// Scheme, host and port of a URL.
std::string AddressOf(const std::string& url) {
  const size_t scheme_end = url.find("://");
  return url.substr(0, url.find('/', scheme_end == std::string::npos ? 0 : scheme_end + 3));
}

// Part of the answer has arrived.
void NoteProgress(Transfer& transfer) {
  const TimePoint now = transfer.clock->Now();
  if (transfer.ends_after_stall()) {
    transfer.deadline = std::min(transfer.latest_end, now + transfer.call.stall_timeout);
  }
  const bool is_large = transfer.body.size() > kSmallResponseBytes;
  if (is_large && transfer.call.on_progress && now - transfer.reported_at >= kProgressInterval) {
    transfer.reported_at = now;
    transfer.call.on_progress();
  }
}

size_t OnBody(char* data, size_t size, size_t count, void* target) {
  auto* transfer = static_cast<Transfer*>(target);
  if (transfer->body.size() + size * count > kMaxResponseBytes) {
    return 0;
  }
  transfer->body.append(data, size * count);
  NoteProgress(*transfer);
  return size * count;
}

// Called just before a request is sent, which may be long after its connection was requested. libcurl resends a request
// by itself when a reused connection closes without an answer; the server may have executed the first one, so the
// second is aborted.
int OnBeforeSend(void* target, char* /*to_ip*/, char* /*from_ip*/, int /*to_port*/, int /*from_port*/) {
  auto* transfer = static_cast<Transfer*>(target);
  if (transfer->IsOverdue()) {
    return CURL_PREREQFUNC_ABORT;
  }
  ++transfer->send_count;
  return transfer->send_count == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

// Lets the next close of a socket reset its connection, such that the kernel drops what it has not delivered yet.
void ResetOnClose(curl_socket_t socket) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

const Clock& DefaultClock() {
  static const BootClock kClock;
  return kClock;
}

void InitCurlOnce() {
  static const CURLcode kInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInit;
}

}  // namespace

struct HttpClient::State {
  State(const HttpClientOptions& client_options, const Clock& client_clock)
      : options(client_options), clock(client_clock), budget(options.connections) {}

  const HttpClientOptions options;
  const Clock& clock;      // Of the deadlines.
  SteadyClock curl_clock;  // Of libcurl's timer.
  CURLM* multi = nullptr;
  int epoll_fd = -1;                            // epoll: libcurl's sockets and `wake_fd`.
  int wake_fd = -1;                             // eventfd: signalled when `submitted` has calls, or to stop.
  TimePoint timer_deadline = TimePoint::max();  // When libcurl's timer expires, by `curl_clock`. Client thread only.
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> submitted;                 // Guarded by mutex.
  bool close_requested = false;                                     // Guarded by mutex.
  std::vector<uint64_t> cancelled;                                  // Numbers of calls. Guarded by mutex.
  uint64_t last_number = 0;                                         // Guarded by mutex.
  bool stopping = false;                                            // Guarded by mutex.
  HttpConnectionCounts counts;                                      // Guarded by mutex.
  std::unordered_map<CURL*, std::unique_ptr<Transfer>> running;     // Client thread only, like all below.
  std::unordered_map<uint64_t, std::unique_ptr<Transfer>> waiting;  // For a connection. By number.
  std::vector<CURL*> idle_handles;                                  // For reuse.
  std::unordered_map<uint64_t, CURL*> stalling;                     // Running calls that end after a stall. By number.
  std::set<std::pair<TimePoint, CURL*>> deadlines;                  // Of the other running calls.
  ConnectionBudget budget;
  bool giving_up = false;  // A call is being ended without an answer: its connection is to be reset.
  bool closing = false;    // All connections are to be closed once no call is running.
  std::unordered_map<curl_socket_t, std::string> open_sockets;  // The address of each.
  std::unordered_map<std::string, size_t> open_to;              // Number of open sockets by address.
  TimePoint idle_since{};                                       // No call is running since then.
  std::thread thread;

  static int OnSocket(CURL* easy, curl_socket_t socket, int what, void* self, void* registered);
  static int OnTimer(CURLM* multi, long timeout_ms, void* self);
  static curl_socket_t OnOpenSocket(void* self, curlsocktype purpose, curl_sockaddr* address);
  static int OnCloseSocket(void* self, curl_socket_t socket);
  void OpenMulti();
  void CloseMulti();
  void AbortAll();
  void CloseIfIdle();
  TimePoint NextDeadline() const;
  int EpollTimeoutMs() const;
  void Wake() const;
  void ProcessEvents();
  void Run();
  void StartSubmitted();
  void EndCalls(const std::vector<uint64_t>& numbers);
  void ExpireWaiting();
  void ExpireRunning();
  void StartWaiting(std::vector<uint64_t> numbers);
  static void EndUnsent(const Transfer& transfer);
  void Start(std::unique_ptr<Transfer> transfer);
  void FinishCompleted();
  void Finish(CURL* easy, CURLcode code);
  bool WasRefused(CURL* easy, CURLcode code) const;
};

// libcurl's socket callback: adds, changes or removes the socket's epoll registration.
int HttpClient::State::OnSocket(CURL* /*easy*/, curl_socket_t socket, int what, void* self, void* registered) {
  auto* state = static_cast<State*>(self);
  epoll_event event{};
  event.data.fd = socket;
  event.events = ((what & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((what & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl(state->epoll_fd, EPOLL_CTL_DEL, socket, &event);
    return 0;
  }
  epoll_ctl(state->epoll_fd, registered == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
  curl_multi_assign(state->multi, socket, state);  // Non-null marks it as registered.
  return 0;
}

int HttpClient::State::OnTimer(CURLM* /*multi*/, long timeout_ms, void* self) {
  auto* state = static_cast<State*>(self);
  state->timer_deadline =
      timeout_ms < 0 ? TimePoint::max() : state->curl_clock.Now() + std::chrono::milliseconds(timeout_ms);
  return 0;
}

// libcurl keeps this callback, and the next, with the connection.
curl_socket_t HttpClient::State::OnOpenSocket(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
  auto* state = static_cast<State*>(self);
  const curl_socket_t opened = socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
  if (opened == CURL_SOCKET_BAD) {
    return opened;
  }
  std::string name(reinterpret_cast<const char*>(&address->addr), address->addrlen);
  const size_t open_to_one = ++state->open_to[name];
  state->open_sockets[opened] = std::move(name);
  const std::lock_guard lock(state->mutex);
  ++state->counts.opened;
  ++state->counts.open;
  state->counts.open_to_one = std::max(state->counts.open_to_one, open_to_one);
  return opened;
}

int HttpClient::State::OnCloseSocket(void* self, curl_socket_t socket) {
  auto* state = static_cast<State*>(self);
  if (const auto closed = state->open_sockets.extract(socket); !closed.empty()) {
    const auto to = state->open_to.find(closed.mapped());
    if (--to->second == 0) {
      state->open_to.erase(to);
    }
    size_t open_to_one = 0;
    for (const auto& [address, count] : state->open_to) {
      open_to_one = std::max(open_to_one, count);
    }
    const std::lock_guard lock(state->mutex);
    --state->counts.open;
    state->counts.open_to_one = open_to_one;
  }
  if (state->giving_up) {
    ResetOnClose(socket);
  }
  return close(socket);
}

void HttpClient::State::OpenMulti() {
  multi = curl_multi_init();
  curl_multi_setopt(multi, CURLMOPT_MAXCONNECTS, kMaxCachedConnections);
  curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, &State::OnSocket);
  curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, &State::OnTimer);
  curl_multi_setopt(multi, CURLMOPT_TIMERDATA, this);
}

// Closes the connections, of which none is in use.
void HttpClient::State::CloseMulti() {
  curl_multi_cleanup(multi);
  timer_deadline = TimePoint::max();
}

void HttpClient::State::AbortAll() {
  while (!running.empty()) {  // A call that waited for the connection of one that ends here ends next.
    Finish(running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
}

// libcurl closes idle connections only while it makes calls, and then by itself.
void HttpClient::State::CloseIfIdle() {
  if (!running.empty()) {
    return;
  }
  if (!open_sockets.empty() && (closing || clock.Now() - idle_since > options.idle_timeout)) {
    CloseMulti();
    OpenMulti();
  }
  closing = false;
}

// The next moment at which the client's thread has to act, beside libcurl's timer.
TimePoint HttpClient::State::NextDeadline() const {
  TimePoint next = budget.next_deadline().value_or(TimePoint::max());
  if (running.empty() && !open_sockets.empty()) {
    next = std::min(next, idle_since + options.idle_timeout);
  }
  for (const auto& [number, easy] : stalling) {
    next = std::min(next, running.at(easy)->deadline);
  }
  return deadlines.empty() ? next : std::min(next, deadlines.begin()->first);
}

int HttpClient::State::EpollTimeoutMs() const {
  const TimePoint next = NextDeadline();
  if (next == TimePoint::max() && timer_deadline == TimePoint::max()) {
    return -1;
  }
  const Duration until_deadline = next == TimePoint::max() ? Duration::max() : next - clock.Now();
  const Duration until_timer = timer_deadline == TimePoint::max() ? Duration::max() : timer_deadline - curl_clock.Now();
  const Duration left = std::max(Duration(0), std::min(until_deadline, until_timer));
  return static_cast<int>(Millis(left + 999us));
}

void HttpClient::State::Wake() const {
  const uint64_t one = 1;
  [[maybe_unused]] const ssize_t written = write(wake_fd, &one, sizeof(one));  // A full counter already wakes it.
}

void HttpClient::State::ProcessEvents() {
  std::array<epoll_event, kMaxEpollEvents> events{};
  const int count = epoll_wait(epoll_fd, events.data(), kMaxEpollEvents, EpollTimeoutMs());
  ExpireWaiting();  // First: a call must not take a connection that becomes free at its own deadline.
  ExpireRunning();  // Before the events: a request that is partly sent is not continued after its deadline.
  int running_count = 0;
  for (int i = 0; i < count; ++i) {
    const epoll_event& event = events[static_cast<size_t>(i)];
    if (event.data.fd == wake_fd) {
      uint64_t value = 0;
      [[maybe_unused]] const ssize_t taken = read(wake_fd, &value, sizeof(value));
      continue;
    }
    const int what = ((event.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
                     ((event.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                     ((event.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action(multi, event.data.fd, what, &running_count);
  }
  if (timer_deadline <= curl_clock.Now()) {
    timer_deadline = TimePoint::max();
    curl_multi_socket_action(multi, CURL_SOCKET_TIMEOUT, 0, &running_count);
  }
}

void HttpClient::State::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex);
      if (stopping) {
        break;
      }
      closing = closing || std::exchange(close_requested, false);
    }
    StartSubmitted();
    ProcessEvents();
    ExpireWaiting();
    FinishCompleted();
    CloseIfIdle();
  }
  AbortAll();
}

void HttpClient::State::StartSubmitted() {
  std::vector<std::unique_ptr<Transfer>> taken;
  std::vector<uint64_t> to_end;
  {
    const std::lock_guard lock(mutex);
    taken.swap(submitted);
    to_end.swap(cancelled);
  }
  for (std::unique_ptr<Transfer>& transfer : taken) {
    const HttpCall& call = transfer->call;
    const TimePoint send_by = transfer->deadline - std::min(kMinAnswerTime, call.timeout / 2);
    const uint64_t number = transfer->number;
    const bool admitted = budget.Admit(number, AddressOf(call.url), call.urgent, send_by);
    waiting[number] = std::move(transfer);
    if (admitted) {
      StartWaiting({number});
    }
  }
  EndCalls(to_end);
}

void HttpClient::State::ExpireWaiting() {
  for (const uint64_t number : budget.TakeExpired(clock.Now())) {
    const auto expired = waiting.extract(number);
    EndUnsent(*expired.mapped());
  }
}

// Nothing was learnt about the server.
void HttpClient::State::EndUnsent(const Transfer& transfer) {
  HttpResult result;
  result.delivery = Delivery::kNotSent;
  result.reason = UnansweredReason::kNoConnectionFree;
  transfer.done(std::move(result));
}

// libcurl's own time limit cannot be moved while a call is running, and closes the connection without a reset.
void HttpClient::State::ExpireRunning() {
  const TimePoint now = clock.Now();
  std::vector<CURL*> expired;
  for (auto next = deadlines.begin(); next != deadlines.end() && next->first <= now; ++next) {
    expired.push_back(next->second);
  }
  for (const auto& [number, easy] : stalling) {
    if (running.at(easy)->deadline <= now) {
      expired.push_back(easy);
    }
  }
  for (CURL* easy : expired) {
    Finish(easy, CURLE_OPERATION_TIMEDOUT);
  }
}

void HttpClient::State::EndCalls(const std::vector<uint64_t>& numbers) {
  for (const uint64_t number : numbers) {
    const auto found =
        std::find_if(running.begin(), running.end(), [&](const auto& each) { return each.second->number == number; });
    if (found != running.end()) {
      Finish(found->first, CURLE_ABORTED_BY_CALLBACK);
    }
  }
}

// Calls that have a connection each. One that is overdue passes its connection on.
void HttpClient::State::StartWaiting(std::vector<uint64_t> numbers) {
  for (size_t i = 0; i < numbers.size(); ++i) {
    const uint64_t number = numbers[i];
    std::unique_ptr<Transfer> transfer = std::move(waiting.extract(number).mapped());
    if (!transfer->IsOverdue()) {
      Start(std::move(transfer));
      continue;
    }
    EndUnsent(*transfer);
    const std::vector<uint64_t> next = budget.Release(number);
    numbers.insert(numbers.end(), next.begin(), next.end());
  }
}

void HttpClient::State::Start(std::unique_ptr<Transfer> transfer) {
  CURL* easy = nullptr;
  if (idle_handles.empty()) {
    easy = curl_easy_init();
  } else {
    easy = idle_handles.back();
    idle_handles.pop_back();
    curl_easy_reset(easy);
  }
  const HttpCall& call = transfer->call;
  transfer->headers = curl_slist_append(nullptr, "Content-Type: application/json");
  transfer->headers = curl_slist_append(transfer->headers, "Expect:");
  for (const std::string& header : call.headers) {
    transfer->headers = curl_slist_append(transfer->headers, header.c_str());
  }
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  if (call.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  }
  if (transfer->ends_after_stall()) {
    stalling[transfer->number] = easy;
  } else {
    deadlines.emplace(transfer->deadline, easy);
  }
  const Duration connect_timeout = call.new_connection ? call.timeout : kConnectTimeout;
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(Millis(connect_timeout)));
  curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, call.new_connection ? 1L : 0L);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  // A call that ends during the lookup of a host name does not wait for the lookup, which would stop all other calls.
  curl_easy_setopt(easy, CURLOPT_QUICK_EXIT, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, static_cast<long>(options.idle_timeout.count()));
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, &State::OnOpenSocket);
  curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, this);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETFUNCTION, &State::OnCloseSocket);
  curl_easy_setopt(easy, CURLOPT_CLOSESOCKETDATA, this);
  running[easy] = std::move(transfer);
  curl_multi_add_handle(multi, easy);
}

void HttpClient::State::FinishCompleted() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

// A connection that breaks later, or that served calls before, says nothing about the server's limit.
bool HttpClient::State::WasRefused(CURL* easy, CURLcode code) const {
  const bool broken = code == CURLE_RECV_ERROR || code == CURLE_SEND_ERROR || code == CURLE_GOT_NOTHING ||
                      code == CURLE_COULDNT_CONNECT;
  long new_connections = 0;
  long error = 0;
  curl_off_t connected_us = 0;
  curl_off_t total_us = 0;
  curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &new_connections);
  curl_easy_getinfo(easy, CURLINFO_OS_ERRNO, &error);
  curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected_us);
  curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total_us);
  const bool reset = code != CURLE_COULDNT_CONNECT || error == ECONNRESET;
  return broken && reset && new_connections > 0 && Duration(total_us - connected_us) < kMaxRefusalTime;
}

void HttpClient::State::Finish(CURL* easy, CURLcode code) {
  const std::unique_ptr<Transfer> transfer = std::move(running[easy]);
  running.erase(easy);
  stalling.erase(transfer->number);
  deadlines.erase({transfer->deadline, easy});
  HttpResult result;
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  if (code == CURLE_OK) {
    result.delivery = Delivery::kAnswered;
    result.body = std::move(transfer->body);
  } else if (transfer->send_count == 0) {
    result.delivery = Delivery::kNotSent;
  }
  if (WasRefused(easy, code)) {
    result.reason = UnansweredReason::kConnectionRefused;
    const std::lock_guard lock(mutex);
    ++counts.refused;
  }
  giving_up = code != CURLE_OK;
  curl_multi_remove_handle(multi, easy);  // Closes the connection of a call that has not ended by itself.
  giving_up = false;
  curl_slist_free_all(transfer->headers);
  idle_handles.push_back(easy);
  idle_since = clock.Now();
  transfer->done(std::move(result));
  StartWaiting(budget.Release(transfer->number));
}

HttpClient::HttpClient(const HttpClientOptions& options) : HttpClient(options, DefaultClock()) {}

HttpClient::HttpClient(const HttpClientOptions& options, const Clock& clock)
    : state_(std::make_unique<State>(options, clock)) {
  InitCurlOnce();
  state_->OpenMulti();
  state_->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
  state_->wake_fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = state_->wake_fd;
  epoll_ctl(state_->epoll_fd, EPOLL_CTL_ADD, state_->wake_fd, &event);
  state_->thread = std::thread([this] { state_->Run(); });
}

HttpClient::~HttpClient() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  state_->Wake();
  state_->thread.join();
  for (CURL* easy : state_->idle_handles) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(state_->multi);
  close(state_->wake_fd);
  close(state_->epoll_fd);
}

uint64_t HttpClient::Send(HttpCall call, Done done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->done = std::move(done);
  transfer->clock = &state_->clock;
  transfer->deadline = state_->clock.Now() + transfer->call.timeout;
  transfer->latest_end = state_->clock.Now() + kMaxTransferTime;
  uint64_t number = 0;
  {
    const std::lock_guard lock(state_->mutex);
    number = ++state_->last_number;
    transfer->number = number;
    state_->submitted.push_back(std::move(transfer));
  }
  state_->Wake();
  return number;
}

void HttpClient::Cancel(uint64_t number) {
  {
    const std::lock_guard lock(state_->mutex);
    state_->cancelled.push_back(number);
  }
  state_->Wake();
}

void HttpClient::CloseConnections() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->close_requested = true;
  }
  state_->Wake();
}

HttpConnectionCounts HttpClient::connection_counts() const {
  const std::lock_guard lock(state_->mutex);
  return state_->counts;
}

HttpResult HttpFetch(const HttpCall& call) {
  std::promise<HttpResult> promise;
  std::future<HttpResult> future = promise.get_future();
  HttpClient client;
  client.Send(call, [&](HttpResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace hibiscus
