#include "ports/http_client.h"

#include <curl/curl.h>

#include <algorithm>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

namespace hibiscus {

namespace {

constexpr int kPollMs = 1000;
constexpr long kMostConnections = 4096;
constexpr Duration kConnectTimeout = 800ms;
constexpr size_t kBodyLimit = size_t{16} * 1024 * 1024;  // Bytes; a longer answer is dropped as unknown.

struct Transfer {
  HttpCall call;
  HttpClient::Done done;
  std::string body;
  curl_slist* headers = nullptr;
  int sends = 0;  // How often the request went out on a connection.
};

size_t OnBody(char* data, size_t size, size_t count, void* target) {
  auto* body = static_cast<std::string*>(target);
  if (body->size() + size * count > kBodyLimit) {
    return 0;
  }
  body->append(data, size * count);
  return size * count;
}

// Called just before a request goes out. The library sends a request again on its own when a kept connection closes
// without an answer; the far side may have acted on the first one, so the second is stopped.
int OnBeforeSend(void* target, char* /*to_ip*/, char* /*from_ip*/, int /*to_port*/, int /*from_port*/) {
  auto* transfer = static_cast<Transfer*>(target);
  ++transfer->sends;
  return transfer->sends == 1 ? CURL_PREREQFUNC_OK : CURL_PREREQFUNC_ABORT;
}

void InitCurlOnce() {
  static const CURLcode kInit = curl_global_init(CURL_GLOBAL_DEFAULT);
  (void)kInit;
}

}  // namespace

struct HttpClient::State {
  CURLM* multi = nullptr;
  std::mutex mutex;
  std::vector<std::unique_ptr<Transfer>> incoming;
  std::map<CURL*, std::unique_ptr<Transfer>> running;  // Client thread only.
  std::vector<CURL*> idle;                             // Handles to use again.
  bool stopping = false;
  std::thread thread;

  void Run();
  void TakeIncoming();
  void Begin(std::unique_ptr<Transfer> transfer);
  void FinishReady();
  void Finish(CURL* easy, CURLcode code);
};

void HttpClient::State::Run() {
  while (true) {
    {
      const std::lock_guard lock(mutex);
      if (stopping) {
        break;
      }
    }
    TakeIncoming();
    int count = 0;
    curl_multi_perform(multi, &count);
    FinishReady();
    curl_multi_poll(multi, nullptr, 0, kPollMs, nullptr);
  }
  while (!running.empty()) {
    Finish(running.begin()->first, CURLE_ABORTED_BY_CALLBACK);
  }
}

void HttpClient::State::TakeIncoming() {
  std::vector<std::unique_ptr<Transfer>> taken;
  {
    const std::lock_guard lock(mutex);
    taken.swap(incoming);
  }
  for (std::unique_ptr<Transfer>& transfer : taken) {
    Begin(std::move(transfer));
  }
}

void HttpClient::State::Begin(std::unique_ptr<Transfer> transfer) {
  CURL* easy = nullptr;
  if (idle.empty()) {
    easy = curl_easy_init();
  } else {
    easy = idle.back();
    idle.pop_back();
    curl_easy_reset(easy);
  }
  const HttpCall& call = transfer->call;
  transfer->headers = curl_slist_append(nullptr, "Content-Type: application/json");
  transfer->headers = curl_slist_append(transfer->headers, "Expect:");
  curl_easy_setopt(easy, CURLOPT_URL, call.url.c_str());
  curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
  curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
  if (call.method != "GET") {
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.data());
  }
  curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, std::max(1L, static_cast<long>(Millis(call.timeout))));
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(Millis(kConnectTimeout)));
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &OnBody);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer->body);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &OnBeforeSend);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer.get());
  running[easy] = std::move(transfer);
  curl_multi_add_handle(multi, easy);
}

void HttpClient::State::FinishReady() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(multi, &left)) {
    if (message->msg == CURLMSG_DONE) {
      Finish(message->easy_handle, message->data.result);
    }
  }
}

void HttpClient::State::Finish(CURL* easy, CURLcode code) {
  const std::unique_ptr<Transfer> transfer = std::move(running[easy]);
  running.erase(easy);
  HttpResult result;
  long status = 0;
  curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
  result.status = static_cast<int>(status);
  if (code == CURLE_OK) {
    result.delivery = Delivery::kAnswered;
    result.body = std::move(transfer->body);
  } else if (transfer->sends == 0) {
    result.delivery = Delivery::kNotSent;
  }
  curl_multi_remove_handle(multi, easy);
  curl_slist_free_all(transfer->headers);
  idle.push_back(easy);
  transfer->done(std::move(result));
}

HttpClient::HttpClient() : state_(std::make_unique<State>()) {
  InitCurlOnce();
  state_->multi = curl_multi_init();
  curl_multi_setopt(state_->multi, CURLMOPT_MAXCONNECTS, kMostConnections);
  state_->thread = std::thread([this] { state_->Run(); });
}

HttpClient::~HttpClient() {
  {
    const std::lock_guard lock(state_->mutex);
    state_->stopping = true;
  }
  curl_multi_wakeup(state_->multi);
  state_->thread.join();
  for (CURL* easy : state_->idle) {
    curl_easy_cleanup(easy);
  }
  curl_multi_cleanup(state_->multi);
}

void HttpClient::Send(HttpCall call, Done done) {
  auto transfer = std::make_unique<Transfer>();
  transfer->call = std::move(call);
  transfer->done = std::move(done);
  {
    const std::lock_guard lock(state_->mutex);
    state_->incoming.push_back(std::move(transfer));
  }
  curl_multi_wakeup(state_->multi);
}

HttpResult HttpFetch(const HttpCall& call) {
  std::promise<HttpResult> promise;
  std::future<HttpResult> future = promise.get_future();
  HttpClient client;
  client.Send(call, [&](HttpResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

}  // namespace hibiscus
