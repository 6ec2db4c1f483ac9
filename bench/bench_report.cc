#include "bench/bench_report.h"

#include <algorithm>

#include <fmt/core.h>
#include <nlohmann/json.hpp>

namespace hibiscus {

namespace {

using Json = nlohmann::json;

double Ms(Duration duration) {
  return static_cast<double>(duration.count()) / 1000;
}

template <class Number>
double Percentile(std::vector<Number> values, double share) {
  if (values.empty()) {
    return 0;
  }
  const auto place = static_cast<size_t>(share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(place), values.end());
  return static_cast<double>(values[place]);
}

bool Started(const Trace& trace) {
  return trace.started_members >= trace.members;
}

bool StartedInTarget(const Trace& trace, const ClassSpec& spec) {
  return Started(trace) && trace.started - trace.arrived <= spec.start_within;
}

bool FinishedInTarget(const Trace& trace, const ClassSpec& spec) {
  return trace.answer && trace.answer->verdict == Verdict::kDone &&
         trace.answered - trace.arrived <= spec.finish_within;
}

ClassFigures FiguresOf(const ClassSpec& spec, const std::string& name, const std::vector<const Trace*>& traces) {
  ClassFigures figures;
  figures.name = name;
  figures.offered = traces.size();
  std::vector<double> waits;
  std::vector<double> refusals;
  size_t started = 0;
  size_t finished = 0;
  size_t other = 0;
  for (const Trace* trace : traces) {
    started += StartedInTarget(*trace, spec) ? 1 : 0;
    finished += FinishedInTarget(*trace, spec) ? 1 : 0;
    if (Started(*trace)) {
      waits.push_back(Ms(trace->started - trace->arrived));
    }
    if (trace->answer && trace->answer->verdict == Verdict::kNotRun) {
      refusals.push_back(Ms(trace->answered - trace->arrived));
    } else if (!trace->answer || trace->answer->verdict != Verdict::kDone) {
      ++other;
    }
  }
  const double offered = std::max(1.0, static_cast<double>(traces.size()));
  figures.started_in_target = static_cast<double>(started) / offered;
  figures.finished_in_target = static_cast<double>(finished) / offered;
  figures.refused = static_cast<double>(refusals.size()) / offered;
  figures.other = static_cast<double>(other) / offered;
  figures.wait_p50_ms = Percentile(waits, 0.5);
  figures.wait_p99_ms = Percentile(waits, 0.99);
  figures.refusal_p50_ms = Percentile(refusals, 0.5);
  figures.refusal_p99_ms = Percentile(refusals, 0.99);
  return figures;
}

std::vector<const Trace*> Counted(const Workload& workload,
                                  const BenchWorld& world,
                                  const std::string& class_name,
                                  const std::string& tenant) {
  std::vector<const Trace*> traces;
  for (const Trace& trace : world.traces()) {
    const LoadStream& stream = workload.streams[trace.stream];
    const bool service = stream.kind == WorkKind::kService;
    if ((service || world.Counts(trace)) && stream.class_name == class_name &&
        (tenant.empty() || stream.tenant == tenant)) {
      traces.push_back(&trace);
    }
  }
  return traces;
}

// Work of calls that were answered in target, as far as it was done while it counts, over what was possible then.
double CallGoodput(const Workload& workload, const BenchOptions& options, const BenchWorld& world) {
  double useful = 0;
  double offered = 0;
  for (const Trace& trace : world.traces()) {
    const LoadStream& stream = workload.streams[trace.stream];
    if (stream.kind != WorkKind::kCall) {
      continue;
    }
    offered += world.Counts(trace) ? Ms(trace.run_time) : 0;
    const ClassSpec& spec = *workload.configuration.FindClass(stream.class_name);
    if (!FinishedInTarget(trace, spec) || !StartedInTarget(trace, spec)) {
      continue;
    }
    const Duration overlap =
        std::min(trace.answered, world.counts_until()) - std::max(trace.started, world.counts_from());
    useful += std::max(0.0, Ms(overlap)) / Ms(trace.answered - trace.started) * Ms(trace.run_time);
  }
  const double capacity = Ms(options.length) * world.EffectiveServers() * options.slots;
  return offered == 0 ? 0 : useful / std::min(offered, capacity);
}

}  // namespace

RunFigures Summarise(const Workload& workload,
                     const BenchOptions& options,
                     const std::string& policy,
                     const BenchWorld& world) {
  RunFigures figures;
  figures.workload = workload.name;
  figures.day = options.day.name;
  figures.policy = policy;
  figures.load = options.load;
  figures.worst_class = 1;
  figures.worst_tenant = 1;
  for (const ClassSpec& spec : workload.configuration.classes) {
    ClassFigures of_class = FiguresOf(spec, spec.name, Counted(workload, world, spec.name, {}));
    if (of_class.offered == 0) {
      continue;
    }
    if (spec.kind != WorkKind::kService) {
      figures.worst_class = std::min(figures.worst_class, of_class.finished_in_target);
    }
    figures.classes.push_back(std::move(of_class));
  }
  for (const LoadStream& stream : workload.streams) {
    const bool flooder = stream.tenant == workload.streams.front().tenant;
    const std::vector<const Trace*> traces = Counted(workload, world, stream.class_name, stream.tenant);
    if (!flooder && stream.kind != WorkKind::kService && !traces.empty()) {
      const ClassSpec& spec = *workload.configuration.FindClass(stream.class_name);
      figures.worst_tenant = std::min(figures.worst_tenant, FiguresOf(spec, "", traces).finished_in_target);
    }
  }
  const Occupancy& occupancy = world.occupancy();
  const double samples = std::max(1, occupancy.samples);
  figures.call_goodput = CallGoodput(workload, options, world);
  figures.slots_used = occupancy.slots / samples;
  figures.packing = std::max(occupancy.cpu, occupancy.memory) / samples;
  double spent = 0;
  for (const float micros : world.handle_micros()) {
    spent += static_cast<double>(micros);
  }
  figures.starts = world.starts();
  figures.placements_a_second = spent == 0 ? 0 : static_cast<double>(world.counted_starts()) / spent * 1e6;
  figures.handle_p50_us = Percentile(world.handle_micros(), 0.5);
  figures.handle_p99_us = Percentile(world.handle_micros(), 0.99);
  figures.broken = world.broken();
  return figures;
}

std::string TableOf(const RunFigures& figures) {
  std::string text = fmt::format(
      "\n{} {} {:.0f}% {}: call goodput {:.1f}%, slots {:.1f}%, packing {:.1f}%, worst class {:.1f}%, worst tenant "
      "{:.1f}%, broken {}\n",
      figures.workload, figures.day, figures.load * 100, figures.policy, figures.call_goodput * 100,
      figures.slots_used * 100, figures.packing * 100, figures.worst_class * 100, figures.worst_tenant * 100,
      figures.broken);
  text += fmt::format("  {:16}{:>8}{:>10}{:>10}{:>9}{:>8}{:>11}{:>11}{:>11}{:>11}\n", "class", "offered", "started%",
                      "finished%", "refused%", "other%", "wait p50", "wait p99", "refus p50", "refus p99");
  for (const ClassFigures& row : figures.classes) {
    text +=
        fmt::format("  {:16}{:>8}{:>10.2f}{:>10.2f}{:>9.2f}{:>8.2f}{:>11.1f}{:>11.1f}{:>11.1f}{:>11.1f}\n", row.name,
                    row.offered, row.started_in_target * 100, row.finished_in_target * 100, row.refused * 100,
                    row.other * 100, row.wait_p50_ms, row.wait_p99_ms, row.refusal_p50_ms, row.refusal_p99_ms);
  }
  return text;
}

std::string SpeedLineOf(const std::string& what, const RunFigures& figures) {
  return fmt::format("{:44} {:>9} starts {:>9.0f} placements/s  Handle p50 {:>7.1f} us  p99 {:>8.1f} us\n", what,
                     figures.starts, figures.placements_a_second, figures.handle_p50_us, figures.handle_p99_us);
}

std::string JsonOf(const std::vector<RunFigures>& runs) {
  Json json = Json::array();
  for (const RunFigures& run : runs) {
    Json classes = Json::array();
    for (const ClassFigures& row : run.classes) {
      classes.push_back({{"name", row.name},
                         {"offered", row.offered},
                         {"started_in_target", row.started_in_target},
                         {"finished_in_target", row.finished_in_target},
                         {"refused", row.refused},
                         {"other", row.other},
                         {"wait_p50_ms", row.wait_p50_ms},
                         {"wait_p99_ms", row.wait_p99_ms},
                         {"refusal_p50_ms", row.refusal_p50_ms},
                         {"refusal_p99_ms", row.refusal_p99_ms}});
    }
    json.push_back({{"workload", run.workload},
                    {"day", run.day},
                    {"policy", run.policy},
                    {"load", run.load},
                    {"classes", classes},
                    {"call_goodput", run.call_goodput},
                    {"slots_used", run.slots_used},
                    {"packing", run.packing},
                    {"worst_class", run.worst_class},
                    {"worst_tenant", run.worst_tenant},
                    {"placements_a_second", run.placements_a_second},
                    {"handle_p50_us", run.handle_p50_us},
                    {"handle_p99_us", run.handle_p99_us},
                    {"starts", run.starts},
                    {"broken", run.broken}});
  }
  return json.dump(1);
}

}  // namespace hibiscus
