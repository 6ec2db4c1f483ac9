// hibiscus_path: quick calls through the whole path of real processes beside direct calls to a backend server's
// stand-in, in one run, as a ratio. Closed loop: a new call is sent when one is answered.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <random>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>

#include "ports/caller_api.h"
#include "ports/http_client.h"
#include "ports/json_codec.h"

DEFINE_string(host, "127.0.0.1:21010", "ip:port of an entry host");
DEFINE_string(direct, "127.0.0.1:21050/s-dc-a-1", "ip:port/name of a backend server's stand-in");
DEFINE_string(class_name, "slot-fill", "class of the calls");
DEFINE_int32(calls, 5000, "calls of each kind");
DEFINE_int32(at_once, 16, "calls in progress");

namespace hibiscus {

namespace {

using Steady = std::chrono::steady_clock;

struct Figures {
  double per_second = 0;
  double median_ms = 0;
  double p99_ms = 0;
  int wrong = 0;  // Answers other than 200.
};

// Keeps a number of calls in progress until all are answered.
class ClosedLoop {
 public:
  using Make = std::function<HttpCall(int index)>;

  explicit ClosedLoop(Make make) : make_(std::move(make)) {}

  Figures Run() {
    const Steady::time_point begin = Steady::now();
    for (int i = 0; i < FLAGS_at_once; ++i) {
      SendNext();
    }
    std::unique_lock lock(mutex_);
    all_answered_.wait(lock, [&] { return static_cast<int>(times_ms_.size()) == FLAGS_calls; });
    const std::chrono::duration<double> took = Steady::now() - begin;
    std::sort(times_ms_.begin(), times_ms_.end());
    return Figures{FLAGS_calls / took.count(), times_ms_[times_ms_.size() / 2], times_ms_[times_ms_.size() * 99 / 100],
                   wrong_};
  }

 private:
  void SendNext() {
    const int index = next_++;
    if (index >= FLAGS_calls) {
      return;
    }
    const Steady::time_point sent = Steady::now();
    client_.Send(make_(index), [this, sent](const HttpResult& result) { OnAnswer(sent, result); });
  }

  void OnAnswer(Steady::time_point sent, const HttpResult& result) {
    const std::chrono::duration<double, std::milli> took = Steady::now() - sent;
    SendNext();
    const std::lock_guard lock(mutex_);
    times_ms_.push_back(took.count());
    wrong_ += result.status == 200 ? 0 : 1;
    all_answered_.notify_one();
  }

  Make make_;
  std::atomic<int> next_{0};
  std::mutex mutex_;
  std::condition_variable all_answered_;
  std::vector<double> times_ms_;
  int wrong_ = 0;
  HttpClient client_;  // Last, so that its thread ends first.
};

std::string FreshTenant() {
  std::random_device device;
  return fmt::format("path-{:08x}", device());
}

HttpCall ThroughHost(const std::string& tenant, int index) {
  Request request;
  request.key = RequestKey{tenant, std::to_string(index)};
  request.attempt = 1;
  request.class_name = FLAGS_class_name;
  return HttpCall{"POST", fmt::format("http://{}/v1/requests", FLAGS_host), RenderSubmitBody(request), 10s};
}

HttpCall Direct(const std::string& tenant, int index) {
  ServerCall call;
  call.op = ServerOp::kExecute;
  call.run = RunId{TaskId{RequestKey{tenant, std::to_string(index)}, 0}, static_cast<uint64_t>(index)};
  call.deadline = 10s;
  const size_t slash = FLAGS_direct.find('/');
  const std::string url =
      fmt::format("http://{}/servers/{}", FLAGS_direct.substr(0, slash), FLAGS_direct.substr(slash + 1));
  return HttpCall{"POST", url, EncodeJson(call), 10s};
}

void Print(const char* name, const Figures& figures) {
  fmt::print("{:<12} {:>10.0f} calls/s {:>9.2f} ms median {:>9.2f} ms 99 of 100 {:>5} wrong\n", name,
             figures.per_second, figures.median_ms, figures.p99_ms, figures.wrong);
}

int Run() {
  const std::string tenant = FreshTenant();
  const Figures direct = ClosedLoop([&](int index) { return Direct(tenant + "-direct", index); }).Run();
  const Figures whole = ClosedLoop([&](int index) { return ThroughHost(tenant, index); }).Run();
  Print("direct", direct);
  Print("whole path", whole);
  fmt::print("ratio        {:>10.2f}         {:>9.2f}           {:>9.2f}\n", whole.per_second / direct.per_second,
             whole.median_ms / direct.median_ms, whole.p99_ms / direct.p99_ms);
  return direct.wrong + whole.wrong == 0 ? 0 : 1;
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("whole path beside direct calls, as a ratio");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscus::Run();
}
