// Ends of runs that a host received from workers as the owner of the cell and did not store before it lost the
// ownership. A worker lists them to the next owner, too, unless it has left by then. So the host sends them to the
// other hosts, and whichever owns the cell next applies them.
//
// A report may be lost, late or duplicated: what it says stays true, and an end that is known already changes nothing.
#ifndef HIBISCUSSTAND_SRC_CELL_END_REPORTS_H_
#define HIBISCUSSTAND_SRC_CELL_END_REPORTS_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/context.h"
#include "cell/messages.h"
#include "cell/records.h"

namespace hibiscus::cell {

class EndReports {
 public:
  using Sender = std::function<void(const std::string& address, const Message& message)>;
  using Hosts = std::function<std::vector<HostRecord>()>;

  // Sends through `send` to the hosts that `other_hosts` names at that time.
  EndReports(Context& context, Sender send, Hosts other_hosts);
  ~EndReports();
  EndReports(const EndReports&) = delete;
  EndReports& operator=(const EndReports&) = delete;

  // Ends that this host could not store. For ten seconds it sends them to each host that has not answered, also to one
  // that starts meanwhile.
  void Report(const std::vector<EndedRun>& ends);
  // A report of another host. Returns the ends that were not known yet.
  std::vector<EndedRun> OnReport(const EndReport& report);
  void OnReply(const EndReportReply& reply);
  // Those that were reported lately, by whatever host. For a host that becomes the owner.
  std::vector<EndedRun> Recent();

 private:
  struct KnownEnd {
    EndedRun end;
    bool sent = false;  // By this host.
  };
  struct Outgoing {
    std::vector<EndedRun> ends;
    std::set<std::pair<std::string, uint64_t>> answered;  // Address and incarnation of the host.
    TimePoint until{};
  };

  // Returns false if it was known.
  bool Remember(const EndedRun& end);
  void DropOldest();
  void Send(uint64_t call);

  Context& context_;
  Sender send_;
  Hosts other_hosts_;
  uint64_t last_call_;
  std::map<uint64_t, Outgoing> outgoing_;
  std::map<RunRef, KnownEnd> ends_;                  // Recently reported.
  std::deque<std::pair<TimePoint, RunRef>> by_age_;  // Of `ends_`, oldest first.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace hibiscus::cell

#endif  // HIBISCUSSTAND_SRC_CELL_END_REPORTS_H_
