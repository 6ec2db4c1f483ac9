#include "cell/end_reports.h"

#include <algorithm>
#include <utility>

namespace hibiscus::cell {

namespace {

constexpr Duration kResendInterval = 250ms;
constexpr Duration kSendPeriod = 10s;  // Longer than a planned stop lets a process live.
// A task whose end is lost starts again once the lease of its worker has expired, at the latest for the last of several
// owners in a row.
constexpr Duration kRetention = 30s;
constexpr size_t kMaxEndsPerReport = 500;
constexpr size_t kMaxEnds = 20'000;  // Remembered; the oldest are dropped.

}  // namespace

// Replies to an earlier process of this host must not pass for replies to this one.
EndReports::EndReports(Context& context, Sender send, Hosts other_hosts)
    : context_(context),
      send_(std::move(send)),
      other_hosts_(std::move(other_hosts)),
      last_call_(context.settings.incarnation) {}

EndReports::~EndReports() {
  *alive_ = false;
}

void EndReports::Report(const std::vector<EndedRun>& ends) {
  std::vector<EndedRun> unsent;
  for (const EndedRun& end : ends) {
    const bool is_new = Remember(end);
    if (is_new || !ends_.at(end.run).sent) {
      ends_.at(end.run).sent = true;
      unsent.push_back(end);
    }
  }
  for (size_t first = 0; first < unsent.size(); first += kMaxEndsPerReport) {
    const auto begin = unsent.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = unsent.begin() + static_cast<std::ptrdiff_t>(std::min(unsent.size(), first + kMaxEndsPerReport));
    const uint64_t call = ++last_call_;
    outgoing_[call] = Outgoing{{begin, end}, {}, context_.Now() + kSendPeriod};
    Send(call);
  }
  if (!unsent.empty()) {
    context_.counters.Add("ends_reported", static_cast<double>(unsent.size()));
    context_.Log("owner", "event=ends_reported ends={} hosts={}", unsent.size(), other_hosts_().size());
  }
  DropOldest();
}

void EndReports::Send(uint64_t call) {
  const Outgoing& report = outgoing_.at(call);
  if (context_.Now() >= report.until) {
    outgoing_.erase(call);
    return;
  }
  for (const HostRecord& host : other_hosts_()) {
    if (!report.answered.contains({host.address, host.incarnation})) {
      send_(host.address, EndReport{call, context_.settings.peer_address, report.ends});
    }
  }
  context_.timers.In(kResendInterval, [this, alive = alive_, call] {
    if (*alive) {
      Send(call);
    }
  });
}

std::vector<EndedRun> EndReports::OnReport(const EndReport& report) {
  send_(report.reply_to, EndReportReply{report.call, context_.settings.peer_address, context_.settings.incarnation});
  std::vector<EndedRun> added;
  std::copy_if(report.ends.begin(), report.ends.end(), std::back_inserter(added),
               [this](const EndedRun& end) { return Remember(end); });
  DropOldest();
  return added;
}

void EndReports::OnReply(const EndReportReply& reply) {
  const auto found = outgoing_.find(reply.call);
  if (found != outgoing_.end()) {
    found->second.answered.emplace(reply.from, reply.incarnation);
  }
}

std::vector<EndedRun> EndReports::Recent() {
  DropOldest();
  std::vector<EndedRun> ends;
  std::transform(ends_.begin(), ends_.end(), std::back_inserter(ends),
                 [](const auto& each) { return each.second.end; });
  return ends;
}

bool EndReports::Remember(const EndedRun& end) {
  const auto [known, is_new] = ends_.emplace(end.run, KnownEnd{end});
  if (is_new) {
    by_age_.emplace_back(context_.Now(), end.run);
    return true;
  }
  // A later life of the worker may have carried out another copy of the start.
  const bool is_done_now = known->second.end.how != EndKind::kDone && end.how == EndKind::kDone;
  if (is_done_now) {
    known->second = KnownEnd{end};
  }
  return is_done_now;
}

void EndReports::DropOldest() {
  const TimePoint now = context_.Now();
  while (!by_age_.empty() && (now - by_age_.front().first > kRetention || by_age_.size() > kMaxEnds)) {
    ends_.erase(by_age_.front().second);
    by_age_.pop_front();
  }
}

}  // namespace hibiscus::cell
