// hibiscus_load: load generator that sends one customer's day of requests to running hosts and checks that each gets
// exactly one answer, complete and for the right request. A refusal or a lost answer is retried through another host of
// the same data centre. As docs/API.md requires, the attempt number is incremented if an earlier try may have run, and
// kept after a refusal as not run. Exits with a non-zero status if any caller got a wrong answer or none.
#include <algorithm>
#include <condition_variable>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/core.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "core/split.h"
#include "ports/caller_api.h"
#include "ports/http_client.h"
#include "standins/day.h"

DEFINE_string(server, "", "ip:port of the hosts; commas inside a data centre, semicolons between data centres");
DEFINE_string(day, "", "file that describes the customer's day (workloads/*.json)");
DEFINE_uint64(seed, 1, "seed of the generated requests");
DEFINE_double(seconds, 0.0, "length of the day, seconds; 0 takes the file's");
DEFINE_double(rate, 1.0, "multiplies every arrival rate");
DEFINE_bool(strict, false, "fail also if any caller's answer is unknown or a failure");
DEFINE_bool(progress, true, "print a progress line each second");

namespace hibiscus {

namespace {

constexpr int kMaxTries = 12;                      // Per caller; the last answer is final.
constexpr Duration kLostAnswerRetryDelay = 300ms;  // Delay before a retry after a lost answer.
constexpr Duration kMaxCallTimeout = 60s;          // Upper limit for a single try.
constexpr Duration kCallTimeoutMargin = 2s;        // Added to the class's finish target.
constexpr Duration kProgressInterval = 1s;

using Json = nlohmann::json;

// How a caller's request ended.
enum class Outcome { kWhole, kRefused, kFailed, kUnknown, kUnanswered, kWrong };

constexpr const char* kOutcomeNames[] = {"whole", "refused", "failed", "unknown", "no answer", "wrong"};

struct CallerState {
  Request request;
  size_t centre = 0;
  size_t host = 0;
  TimePoint started_at;
  int tries = 0;
  bool ended = false;
};

// Statistics of one class.
struct Tally {
  std::map<Outcome, int> outcomes;
  std::map<std::string, int> codes;  // By name of the final result code.
  std::vector<Duration> whole_latencies;
  int repeats = 0;

  int Count(Outcome outcome) const {
    const auto found = outcomes.find(outcome);
    return found == outcomes.end() ? 0 : found->second;
  }
};

class Load {
 public:
  Load(Day day, std::vector<std::vector<std::string>> centres)
      : day_(std::move(day)), centres_(std::move(centres)), random_(FLAGS_seed) {}

  bool Run();  // True if every caller got a correct answer.

 private:
  using CallerRef = std::shared_ptr<CallerState>;
  struct ScheduledTry {
    TimePoint at;
    CallerRef caller;
    bool operator<(const ScheduledTry& other) const { return at > other.at; }  // Puts the earliest on top of the queue.
  };

  void ScheduleArrivals();
  void SendRequest(const CallerRef& caller);
  void OnResult(const CallerRef& caller, const HttpResult& result);
  void OnAnswer(const CallerRef& caller, const Json& json);
  bool ScheduleRetry(const CallerRef& caller, Duration after);
  void RecordOutcome(const CallerRef& caller, Outcome outcome, const std::string& code);
  void PrintProgress(TimePoint now);
  bool PrintReport() const;

  Day day_;
  std::vector<std::vector<std::string>> centres_;
  std::mt19937_64 random_;
  SteadyClock clock_;
  TimePoint started_at_;
  TimePoint next_progress_;
  std::mutex mutex_;
  std::condition_variable wake_;
  std::priority_queue<ScheduledTry> scheduled_tries_;
  std::map<std::string, Tally> tallies_;
  size_t scheduled_ = 0;
  size_t ended_ = 0;
  HttpClient client_;  // Last: its thread stops first.
};

void Load::ScheduleArrivals() {
  started_at_ = clock_.Now();
  next_progress_ = started_at_;
  const std::string id_prefix = fmt::format("{:08x}", std::random_device()());
  for (const Arrival& arrival : GenerateArrivals(day_, FLAGS_seed, id_prefix)) {
    auto caller = std::make_shared<CallerState>();
    caller->request = arrival.request;
    caller->centre = random_() % centres_.size();
    caller->host = random_() % centres_[caller->centre].size();
    scheduled_tries_.push(ScheduledTry{started_at_ + arrival.at, caller});
  }
  scheduled_ = scheduled_tries_.size();
}

bool Load::Run() {
  ScheduleArrivals();
  std::unique_lock lock(mutex_);
  while (ended_ < scheduled_) {
    const TimePoint now = clock_.Now();
    if (now >= next_progress_) {
      PrintProgress(now);
    }
    if (!scheduled_tries_.empty() && scheduled_tries_.top().at <= now) {
      const CallerRef caller = scheduled_tries_.top().caller;
      scheduled_tries_.pop();
      SendRequest(caller);
      continue;
    }
    wake_.wait_until(lock,
                     scheduled_tries_.empty() ? next_progress_ : std::min(next_progress_, scheduled_tries_.top().at));
  }
  PrintProgress(clock_.Now());
  return PrintReport();
}

// Requires mutex_ to be held; this cannot deadlock, as the client never runs callbacks inside Send.
void Load::SendRequest(const CallerRef& caller) {
  if (caller->tries++ == 0) {
    caller->started_at = clock_.Now();
  }
  const std::string& host = centres_[caller->centre][caller->host];
  const ClassSpec* spec = day_.FindClass(caller->request.class_name);
  const Duration call_timeout = std::min(kMaxCallTimeout, spec->finish_within + kCallTimeoutMargin);
  HttpCall call{"POST", fmt::format("http://{}/v1/requests", host), RenderSubmitBody(caller->request), call_timeout};
  client_.Send(std::move(call), [this, caller](const HttpResult& result) { OnResult(caller, result); });
}

void Load::OnResult(const CallerRef& caller, const HttpResult& result) {
  const std::lock_guard lock(mutex_);
  wake_.notify_one();
  if (caller->ended) {
    RecordOutcome(caller, Outcome::kWrong, "second answer");
    return;
  }
  if (result.delivery != Delivery::kAnswered) {
    caller->request.attempt += result.delivery == Delivery::kUnknown ? 1 : 0;
    if (FLAGS_strict && result.delivery == Delivery::kUnknown) {
      fmt::print(stderr, "load: lost the answer to {} from {}, {} ms after the start\n", caller->request.key.ToString(),
                 centres_[caller->centre][caller->host], Millis(clock_.Now() - started_at_));
    }
    if (!ScheduleRetry(caller, kLostAnswerRetryDelay)) {
      RecordOutcome(caller, Outcome::kUnanswered, "no answer");
    }
    return;
  }
  const Json json = Json::parse(result.body, nullptr, false);
  if (!json.is_object() || !json.contains("code") || json.value("id", "") != caller->request.key.id ||
      json.value("tenant", "") != caller->request.key.tenant) {
    RecordOutcome(caller, Outcome::kWrong,
                  fmt::format("unreadable answer, or one for another request: {}", result.body));
    return;
  }
  OnAnswer(caller, json);
}

void Load::OnAnswer(const CallerRef& caller, const Json& json) {
  const std::string name = json.value("name", "");
  const std::string verdict = json.value("verdict", "");
  const auto code = static_cast<ResultCode>(json.at("code").get<int>());
  if (code == ResultCode::kOk) {
    const bool whole = json.value("body", "") == ExpectedAnswer(caller->request) && verdict == "done";
    RecordOutcome(caller, whole ? Outcome::kWhole : Outcome::kWrong, name);
  } else if (verdict == NameOf(Verdict::kNotRun)) {
    const int64_t retry_ms = json.value("retry_after_ms", int64_t{0});
    const bool valid_refusal = retry_ms > 0 || code == ResultCode::kNeverFits;
    if (retry_ms == 0 || !ScheduleRetry(caller, std::chrono::milliseconds(retry_ms))) {
      RecordOutcome(caller, valid_refusal ? Outcome::kRefused : Outcome::kWrong, name);
    }
  } else if (verdict == NameOf(Verdict::kFailed)) {
    RecordOutcome(caller, Outcome::kFailed, name);
  } else {
    RecordOutcome(caller, verdict == NameOf(Verdict::kUnknown) ? Outcome::kUnknown : Outcome::kWrong, name);
  }
}

// Returns false if the caller has used all its tries.
bool Load::ScheduleRetry(const CallerRef& caller, Duration after) {
  if (caller->tries >= kMaxTries) {
    return false;
  }
  ++tallies_[caller->request.class_name].repeats;
  caller->host = (caller->host + 1) % centres_[caller->centre].size();
  scheduled_tries_.push(ScheduledTry{clock_.Now() + after, caller});
  return true;
}

void Load::RecordOutcome(const CallerRef& caller, Outcome outcome, const std::string& code) {
  Tally& tally = tallies_[caller->request.class_name];
  ++tally.outcomes[outcome];
  ++tally.codes[code];
  if (outcome == Outcome::kWhole) {
    tally.whole_latencies.push_back(clock_.Now() - caller->started_at);
  }
  ended_ += caller->ended ? 0 : 1;
  caller->ended = true;
  const bool not_done = outcome == Outcome::kUnknown || outcome == Outcome::kFailed;
  if (outcome == Outcome::kWrong || outcome == Outcome::kUnanswered || (FLAGS_strict && not_done)) {
    fmt::print(stderr, "load: {} for {} after {} tries, {} ms after the start: {}\n",
               kOutcomeNames[static_cast<size_t>(outcome)], caller->request.key.ToString(), caller->tries,
               Millis(clock_.Now() - started_at_), code);
  }
}

void Load::PrintProgress(TimePoint now) {
  next_progress_ = now + kProgressInterval;
  if (!FLAGS_progress) {
    return;
  }
  std::map<Outcome, int> sums;
  for (const auto& [name, tally] : tallies_) {
    for (const auto& [outcome, count] : tally.outcomes) {
      sums[outcome] += count;
    }
  }
  fmt::print("{:4} s: {} of {} ended, {} whole, {} refused, {} failed, {} unknown, {} wrong\n",
             Millis(now - started_at_) / 1000, ended_, scheduled_, sums[Outcome::kWhole], sums[Outcome::kRefused],
             sums[Outcome::kFailed], sums[Outcome::kUnknown], sums[Outcome::kWrong] + sums[Outcome::kUnanswered]);
  std::fflush(stdout);
}

Duration Quantile(std::vector<Duration> values, double share) {
  if (values.empty()) {
    return 0us;
  }
  std::sort(values.begin(), values.end());
  const auto index = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  return values[index];
}

bool Load::PrintReport() const {
  bool passed = true;
  fmt::print("\n{:<16}{:>7}{:>9}{:>8}{:>9}{:>7}{:>9}{:>12}{:>12}\n", "class", "whole", "refused", "failed", "unknown",
             "wrong", "repeats", "median ms", "99 of 100");
  for (const auto& [name, tally] : tallies_) {
    const int wrong = tally.Count(Outcome::kWrong) + tally.Count(Outcome::kUnanswered);
    const int not_done = tally.Count(Outcome::kFailed) + tally.Count(Outcome::kUnknown);
    passed = passed && wrong == 0 && (!FLAGS_strict || not_done == 0);
    fmt::print("{:<16}{:>7}{:>9}{:>8}{:>9}{:>7}{:>9}{:>12}{:>12}\n", name, tally.Count(Outcome::kWhole),
               tally.Count(Outcome::kRefused), tally.Count(Outcome::kFailed), tally.Count(Outcome::kUnknown), wrong,
               tally.repeats, Millis(Quantile(tally.whole_latencies, 0.5)),
               Millis(Quantile(tally.whole_latencies, 0.99)));
    for (const auto& [code, ends] : tally.codes) {
      if (code != "ok") {
        fmt::print("    {} {}\n", ends, code);
      }
    }
  }
  return passed;
}

int RunLoad() {
  std::ifstream file(FLAGS_day);
  std::stringstream text;
  text << file.rdbuf();
  auto day = ParseDay(text.str());
  if (!day) {
    fmt::print(stderr, "load: --day is '{}': {}\n", FLAGS_day, day.error());
    return 2;
  }
  day->seconds = FLAGS_seconds > 0.0 ? FLAGS_seconds : day->seconds;
  for (DayStream& stream : day->streams) {
    stream.per_second *= FLAGS_rate;
  }
  std::vector<std::vector<std::string>> centres;
  for (const std::string& centre : Split(FLAGS_server, ';')) {
    centres.push_back(Split(centre, ','));
  }
  if (centres.empty()) {
    fmt::print(stderr, "load: --server is empty; it must name at least one host\n");
    return 2;
  }
  return Load(*day, centres).Run() ? 0 : 1;
}

}  // namespace

}  // namespace hibiscus

int main(int argc, char** argv) {
  gflags::SetUsageMessage("sends one customer's day of requests to running hosts and checks the answers");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return hibiscus::RunLoad();
}
