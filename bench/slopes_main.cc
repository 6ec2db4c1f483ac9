// hibiscus_slopes: what each worker, task, tenant, peer, data centre and start costs a host, as straight-line fits.
// docs/CAPACITY.md is worked out from its output.
#include <cmath>
#include <cstdio>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include <fmt/core.h>

#include "bench/slope_rig.h"
#include "hibiscusstand/rendezvous.h"
#include "ports/json_codec.h"
#include "ports/peer_codec.h"

namespace hibiscus {

namespace {

constexpr Duration kWarm = 8s;
constexpr Duration kMeasure = 20s;
const Resources kBig{640'000, 2'560'000, 0};
const Resources kTask{1000, 100, 0};

// Names of one column and how to take it from a cost.
struct Column {
  const char* name;
  const char* unit;
  std::function<double(const Cost&)> value;
};

const std::vector<Column>& Columns() {
  static const auto* const kColumns = new std::vector<Column>{
      {"state", "bytes", [](const Cost& cost) { return cost.state_bytes; }},
      {"cpu", "us/s", [](const Cost& cost) { return cost.cpu_seconds / cost.seconds * 1e6; }},
      {"peer messages", "1/s", [](const Cost& cost) { return cost.peers.messages / cost.seconds; }},
      {"peer bytes", "B/s", [](const Cost& cost) { return cost.peers.bytes / cost.seconds; }},
      {"remote messages", "1/s", [](const Cost& cost) { return cost.remote.messages / cost.seconds; }},
      {"remote bytes", "B/s", [](const Cost& cost) { return cost.remote.bytes / cost.seconds; }},
      {"outside calls", "1/s", [](const Cost& cost) { return cost.outside.messages / cost.seconds; }},
      {"outside bytes", "B/s", [](const Cost& cost) { return cost.outside.bytes / cost.seconds; }},
      {"store calls", "1/s", [](const Cost& cost) { return cost.store_calls / cost.seconds; }},
  };
  return *kColumns;
}

// A least-squares line and how well it fits.
void PrintFit(const Column& column, const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (size_t i = 0; i < x.size(); ++i) {
    sx += x[i], sy += y[i], sxx += x[i] * x[i], sxy += x[i] * y[i], syy += y[i] * y[i];
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double spread = (n * sxx - sx * sx) * (n * syy - sy * sy);
  const double r2 = spread > 0 ? std::pow(n * sxy - sx * sy, 2) / spread : 1;
  fmt::print("    {:<16} = {:>12.2f} + {:>10.4f} x  {:<6} r2 {:.3f}   values", column.name, (sy - slope * sx) / n,
             slope, column.unit, r2);
  for (const double value : y) {
    fmt::print(" {:.1f}", value);
  }
  fmt::print("\n");
}

void Slope(const std::string& name, const std::vector<int>& xs, const std::function<Cost(int)>& measure) {
  fmt::print("{}, x =", name);
  std::vector<Cost> costs;
  for (const int x : xs) {
    fmt::print(" {}", x);
    costs.push_back(measure(x));
  }
  fmt::print("\n");
  for (const Column& column : Columns()) {
    std::vector<double> y;
    double most = 0;
    for (const Cost& cost : costs) {
      y.push_back(column.value(cost));
      most = std::max(most, y.back());
    }
    if (most > 0) {
      PrintFit(column, std::vector<double>(xs.begin(), xs.end()), y);
    }
  }
  std::fflush(stdout);
}

Configuration Classes(int tenants) {
  Configuration configuration;
  configuration.version = 1;
  configuration.change_id = "change";
  configuration.classes = {ClassSpec{"batch", WorkKind::kBatch, 10'000s, 100'000s, true},
                           ClassSpec{"quick", WorkKind::kCall, 1s, 5s, true}};
  for (int tenant = 0; tenant < tenants; ++tenant) {
    configuration.quotas.push_back(TenantQuota{"tenant" + std::to_string(tenant), kBig, 100});
  }
  return configuration;
}

RunId Run(const std::string& prefix, int number) {
  return RunId{TaskId{{"tenant", prefix + std::to_string(number)}, 0}, static_cast<uint64_t>(number) + 1'000'000'007};
}

// An owner of 500 workers, with a scripted home host that reserves and commits `tasks` long runs.
Cost RunningTasks(int tasks) {
  SlopeRig rig(1, 1);
  rig.AddWorkers(500, kBig);
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  rig.on_peer = [&](const HostName& to, const PeerMessage& message) {
    if (const auto* reserved = std::get_if<Reserved>(&message); reserved != nullptr && to == "home") {
      rig.Post(PeerEvent{"home",
                         Commit{reserved->run, reserved->worker, reserved->token, "batch", kTask, 10'000s, "payload"}});
    }
  };
  for (int task = 0; task < tasks; ++task) {
    rig.Post(PeerEvent{"home", Reserve{Run("job", task), "batch", WorkKind::kBatch, kTask, 10'000s, 100s, true}});
    if (task % 200 == 199) {
      rig.Run(kTickInterval);
    }
  }
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

// An owner whose 50 workers are full, with `tasks` that wait.
Cost QueuedTasks(int tasks) {
  SlopeRig rig(1, 1);
  rig.AddWorkers(50, Resources{500, 50, 0});
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  for (int task = 0; task < tasks; ++task) {
    const Resources size{400, 40, 0};
    rig.Post(PeerEvent{"home", Reserve{Run("job", task), "batch", WorkKind::kBatch, size, 1s, 10'000s, true}});
  }
  // The holds of the first 50 lapse and go to the next ones: the queue moves all the time.
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

Request TaskRequest(const std::string& id, const char* class_name) {
  Request request;
  request.key = {"tenant", id};
  request.attempt = 1;
  request.class_name = class_name;
  request.size = kTask;
  request.run_time = 1s;
  request.payload = std::string(100, 'p');
  return request;
}

// `rate` requests a second, each through entry, home and owner of this one host.
Cost WholePath(int rate, const char* class_name) {
  SlopeRig rig(1, 1);
  rig.AddWorkers(50, kBig);
  rig.AddServers(50);
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  int sent = 0;
  rig.on_tick = [&] {
    for (int i = 0; i < rate / 50; ++i) {
      const ExchangeId exchange = static_cast<ExchangeId>(++sent);
      rig.Post(CallerSubmit{exchange, TaskRequest("job" + std::to_string(sent), class_name)});
    }
  };
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

// `rate` tasks a second at their home host; the entry host and the owner are the scripted peer.
Cost HomeOnly(int rate) {
  SlopeRig rig(2, 1);
  rig.peer_load.free = kBig;
  rig.peer_load.largest = kBig;
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  std::string worker = "worker";
  const HostName peer = rig.peers().front();
  while (RendezvousPick(worker, rig.hosts()) != peer) {
    worker += "x";
  }
  std::vector<std::pair<TimePoint, RunId>> running;
  uint64_t ticks = 0;
  rig.on_peer = [&](const HostName& to, const PeerMessage& message) {
    if (const auto* reserve = std::get_if<Reserve>(&message)) {
      rig.Post(PeerEvent{to, Reserved{reserve->run, ResultCode::kOk, worker, 7, 0us}});
    } else if (const auto* commit = std::get_if<Commit>(&message)) {
      rig.Post(PeerEvent{to, RunReport{commit->run, worker, 7, RunPhase::kStarted, {}}});
      running.emplace_back(TimePoint(Duration(ticks + 50)), commit->run);
    }
  };
  int sent = 0;
  rig.on_tick = [&] {
    ++ticks;
    std::erase_if(running, [&](const auto& run) {
      const bool over = run.first <= TimePoint(Duration(ticks));
      if (over) {
        rig.Post(PeerEvent{peer, RunReport{run.second, worker, 7, RunPhase::kDone, std::string(100, 'b')}});
      }
      return over;
    });
    for (int i = 0; i < rate / 50; ++i) {
      const auto forward = static_cast<uint64_t>(++sent);
      rig.Post(PeerEvent{peer, ForwardRequest{forward, TaskRequest("job" + std::to_string(sent), "batch"), false}});
    }
  };
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

// Idle, as one of `hosts` in each of `centres` data centres. `busy`: the free slots change
// every second, here and abroad, and every digest from abroad arrives at this host.
Cost Idle(int hosts, int centres, int tenants, bool busy) {
  SlopeRig rig(hosts, centres);
  rig.receives_all_digests = busy;
  rig.ShareList();
  rig.Configure(Classes(tenants));
  int ticks = 0;
  rig.on_tick = [&] {
    if (busy && ++ticks % 50 == 0) {
      rig.peer_load.free_slots = 100 + ticks;
    }
  };
  rig.Run(kWarm);
  return rig.Measure(60s);
}

Cost Workers(int workers) {
  SlopeRig rig(1, 1);
  rig.AddWorkers(workers, kBig);
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

Cost Remembered(int jobs) {
  SlopeRig rig(1, 1);
  rig.AddServers(200);
  rig.ShareList();
  rig.Configure(Classes(0));
  rig.Run(kWarm);
  for (int job = 0; job < jobs; ++job) {
    rig.Post(CallerSubmit{static_cast<ExchangeId>(job) + 1, TaskRequest("job" + std::to_string(job), "quick")});
    if (job % 100 == 99) {
      rig.Run(40ms);
    }
  }
  rig.Run(kWarm);
  return rig.Measure(kMeasure);
}

void PrintSize(const char* name, const PeerMessage& message) {
  const size_t plain = std::visit(
      [&](const auto& value) {
        std::string bytes;
        nlohmann::json::to_cbor(nlohmann::json::array({message.index(), nlohmann::json(value)}), bytes);
        return bytes.size();
      },
      message);
  const std::string bytes = EncodePeerMessage(message);
  constexpr int kTimes = 20'000;
  timespec start{}, end{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
  size_t sum = 0;
  for (int i = 0; i < kTimes; ++i) {
    sum += DecodePeerMessage(EncodePeerMessage(message)).has_value() ? 1 : 0;
  }
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
  const double seconds =
      static_cast<double>(end.tv_sec - start.tv_sec) + static_cast<double>(end.tv_nsec - start.tv_nsec) * 1e-9;
  fmt::print("    {:<20} {:>4} bytes, full names {:>4} bytes, there and back {:.1f} us ({} read)\n", name, bytes.size(),
             plain, seconds / kTimes * 1e6, sum);
}

void PrintSizes() {
  fmt::print("peer messages, an example of each\n");
  const RunId run{TaskId{{"abay", "report-20261203-000017"}, 0}, 0x1234567890abcdefULL};
  const Resources size{4000, 16'384, 1};
  Digest digest{
      "montevideo-a", false, false, 12, Resources{2'621'440, 10'485'760, 40}, Resources{57'344, 229'376, 4}, {}};
  for (int host = 1; host <= 8; ++host) {
    digest.hosts.push_back(DigestHost{"montevideo-a-host" + std::to_string(host), 40});
  }
  Request request = TaskRequest("report-20261203-000017", "batch");
  PrintSize("heartbeat", Heartbeat{"montevideo-a", 0x1234567890abcdefULL, false, 12,
                                   Resources{2'621'440, 10'485'760, 40}, Resources{57'344, 229'376, 4}, 40});
  PrintSize("forward_request", ForwardRequest{17, request, false});
  PrintSize("forward_answer",
            ForwardAnswer{17, Answer{run.task.key, ResultCode::kOk, Verdict::kDone, std::string(100, 'b'), 0us}});
  PrintSize("forward_moved", ForwardMoved{17, "montevideo-a-host1"});
  PrintSize("forward_cancel", ForwardCancel{17, run.task.key});
  PrintSize("forward_query", ForwardQuery{17, run.task.key});
  PrintSize("reserve", Reserve{run, "batch", WorkKind::kBatch, size, 60s, 5s, true});
  PrintSize("reserved", Reserved{run, ResultCode::kOk, "montevideo-a-worker17", 7, 0us});
  PrintSize("commit", Commit{run, "montevideo-a-worker17", 7, "batch", size, 60s, std::string(100, 'p')});
  PrintSize("release_hold", ReleaseHold{run});
  PrintSize("stop_run", StopRun{run, "montevideo-a-worker17"});
  PrintSize("run_report", RunReport{run, "montevideo-a-worker17", 7, RunPhase::kDone, std::string(100, 'b')});
  PrintSize("run_report_ack", RunReportAck{run, "montevideo-a-worker17"});
  PrintSize("call_dispatch", CallDispatch{run, "quick", std::string(100, 'p'), 1s, 5s});
  PrintSize("call_result", CallResult{run, ResultCode::kOk, Verdict::kDone, std::string(100, 'b'), 0us});
  PrintSize("claim", Claim{run.task.key, 0x1234567890abcdefULL, 0x1234567890abcdefULL, {}});
  PrintSize("claim_answer", ClaimAnswer{run.task.key, 0x1234567890abcdefULL, true, false, {}, {}});
  PrintSize("config_push, 90 tenants", ConfigPush{Classes(90)});
  PrintSize("digest, 8 hosts", digest);
  PrintSize("centre_claim", CentreClaim{run.task.key, 0x1234567890abcdefULL});
  PrintSize("centre_claim_answer", CentreClaimAnswer{run.task.key, "montevideo-a", {}});
  PrintSize("claim_retract", ClaimRetract{run.task.key, 0x1234567890abcdefULL, {}, true});
}

void RunAll() {
  PrintSizes();
  Slope("workers owned, idle", {50, 200, 500, 2000, 5000}, Workers);
  Slope("tasks running at their owner (500 workers)", {500, 4000, 16'000, 48'000}, RunningTasks);
  Slope("tasks waiting at their owner (50 full workers)", {100, 1000, 10'000}, QueuedTasks);
  Slope("tenants with quotas, idle", {2, 10, 30, 90}, [](int tenants) { return Idle(2, 1, tenants, false); });
  Slope("hosts in the data centre, idle", {2, 4, 8, 16}, [](int hosts) { return Idle(hosts, 1, 2, false); });
  Slope("data centres of 1 host, idle digest sender", {3, 5, 8, 13},
        [](int centres) { return Idle(1, centres, 2, false); });
  Slope("data centres of 16 hosts, digests change each second and all arrive here", {3, 5, 8, 13},
        [](int centres) { return Idle(16, centres, 2, true); });
  Slope("task starts a second, entry + home + owner", {100, 400, 1600},
        [](int rate) { return WholePath(rate, "batch"); });
  Slope("calls a second, entry + home + owner", {100, 400, 1600}, [](int rate) { return WholePath(rate, "quick"); });
  Slope("task starts a second, home only", {100, 400, 1600}, HomeOnly);
  Slope("ended requests remembered", {1000, 10'000, 50'000}, Remembered);
}

}  // namespace

}  // namespace hibiscus

int main() {
  try {
    hibiscus::RunAll();
  } catch (const std::exception& error) {
    std::fprintf(stderr, "slopes: %s\n", error.what());
    return 1;
  }
  return 0;
}
