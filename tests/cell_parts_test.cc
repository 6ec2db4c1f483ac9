// The cell scheduler's parts on their own: records, messages, placement.
#include <catch2/catch.hpp>

#include "cell/job_table.h"
#include "cell/messages.h"
#include "cell/placement_policy.h"
#include "cell/record_json.h"
#include "cell/records.h"
#include "tests/cell_jobs.h"

namespace hibiscus::cell {
namespace {

JobSpec RichJob() {
  StepSpec step = StepOf(3, 1500, 700ms);
  step.gang = true;
  step.checkpoints = true;
  step.required_label = "a";
  step.data_rack = "r1";
  step.max_per_worker = 2;
  StepSpec second = StepOf(1, 200);
  second.after = {0};
  second.long_running = true;
  JobSpec job = JobOf(7, {step, second});
  job.first_due_ms = 1'700'000'000'123;
  job.interval = 1500ms;
  job.occurrences = 4;
  return job;
}

TEST_CASE("records come back as they were") {
  QueueSpec queue;
  queue.name = "q";
  queue.stretch = 2.25;
  queue.advice = AdviceSpec{6500us, 93us, 1500ms};
  const JobRecord job{3, 1'700'000'000'000, RichJob(), queue, "north"};
  CHECK(DecodeRecord<JobRecord>(EncodeRecord(job)) == job);
  ProgressRecord progress;
  progress.occurrences_done = 2;
  progress.steps.push_back(
      StepProgress{2,
                   0,
                   false,
                   {0, 2},
                   {{1, {1, 3}}},
                   {{1, "00ff"}},
                   {{2, {1}}},
                   {{2, {3}}},
                   {{2, CrashRecord{{1}, {1}, {4}, {SuspectedCrash{5, "w1", 17}}, {SuspectedCrash{6, "w2", 18}}}}}});
  LogRecord log;
  log.jobs.push_back(job);
  log.progress.push_back(JobProgress{job.spec.id, progress});
  CHECK(DecodeRecord<LogRecord>(EncodeRecord(log)) == log);
  const OwnerRecord owner{"h1", "10.0.0.1:7", 9, 4, true};
  CHECK(DecodeRecord<OwnerRecord>(EncodeRecord(owner)) == owner);
  CHECK_FALSE(DecodeRecord<OwnerRecord>("no record").has_value());
  const std::vector<OpenStartRecord> starts{{RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, "w1", 7s}};
  CHECK(DecodeRecord<std::vector<OpenStartRecord>>(EncodeRecord(starts)) == starts);
}

// Hosts of the versions before and after run side by side.
TEST_CASE(
    "a hold of a host that sets no time limit reads as one without a limit, and such a host reads one with a limit") {
  HoldRequest with;
  with.call = 7;
  with.order = HoldOrder{3, 4, 1s, 2s};
  with.valid_until = 5s;
  const nlohmann::json whole = ToJson(with);
  nlohmann::json fields = whole;
  REQUIRE(fields.size() == 6);
  fields.erase(fields.begin() + 5, fields.end());
  HoldRequest without;
  FromJson(fields, without);
  CHECK(without.order == with.order);
  CHECK(without.valid_until == Duration(0));
  CHECK(std::equal(fields.begin(), fields.end(), whole.begin()));
}

// Hosts of the versions before and after run side by side.
TEST_CASE("progress of a host that counts no crashes reads as no crash, and such a host reads progress with crashes") {
  StepProgress with;
  with.done = {0, 2};
  with.crashed = {{1, {1, 4}}};
  with.possibly_crashed = {{1, {2}}};
  with.crash_records = {{1, CrashRecord{{1}, {1}, {4}, {SuspectedCrash{5, "w1", 17}}, {SuspectedCrash{6, "w2", 18}}}}};
  nlohmann::json fields = ToJson(with);
  REQUIRE(fields.size() == 9);
  fields.erase(fields.begin() + 6, fields.end());
  StepProgress without;
  FromJson(fields, without);
  CHECK(without.done == with.done);
  CHECK(without.crashed.empty());
  CHECK(without.possibly_crashed.empty());
  CHECK(without.crash_records.empty());
  // The first six fields are what an older host reads; it passes over the others.
  const nlohmann::json whole = ToJson(with);
  CHECK(std::equal(fields.begin(), fields.end(), whole.begin()));
}

// Hosts of the versions before and after run side by side.
TEST_CASE("crashes stored by a host that records no starts read as such, and such a host reads those with starts") {
  const CrashRecord with{{1}, {1}, {4}, {SuspectedCrash{5, "w1", 17}}, {SuspectedCrash{6, "w2", 18}}};
  nlohmann::json fields = ToJson(with);
  REQUIRE(fields.size() == 5);
  fields.erase(fields.begin() + 4);
  CrashRecord without;
  FromJson(fields, without);
  CHECK(without == CrashRecord{with.certain, with.prompt, with.unconfirmed, with.suspected, {}});
  // The first four fields are what an older host reads; it passes over the last.
  const nlohmann::json whole = ToJson(with);
  CHECK(std::equal(fields.begin(), fields.end(), whole.begin()));
}

// Hosts of the versions before and after run side by side.
TEST_CASE("an answer of a host that tells no reason reads as silence, and such a host reads one with a reason") {
  OrderAnswer with;
  with.worker_clock = 5s;
  with.born_ms = 17;
  with.ended = {EndedRun{3, RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, EndKind::kDone, "00ff"}};
  with.reason = UnansweredReason::kConnectionRefused;
  const nlohmann::json whole = ToJson(with);
  REQUIRE(whole.size() == 7);
  nlohmann::json fields = whole;
  fields.erase(fields.begin() + 5, fields.end());
  OrderAnswer without;
  FromJson(fields, without);
  CHECK(without.reason == UnansweredReason::kSilence);
  without.reason = with.reason;
  CHECK(without == with);
  // The first five fields are what an older host reads; it passes over the others.
  CHECK(std::equal(fields.begin(), fields.end(), whole.begin()));
  nlohmann::json longer = whole;
  longer.push_back("of a later version");
  OrderAnswer read;
  FromJson(longer, read);
  CHECK(read == with);
}

// Hosts of the versions before and after run side by side.
TEST_CASE("an answer of a host that tells no unreadable end reads as a whole one, and such a host reads one with it") {
  OrderAnswer with;
  with.status = OrderStatus::kOk;
  with.ended = {EndedRun{3, RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, EndKind::kDone, "00ff"}};
  with.unreadable_from = 0;
  const nlohmann::json whole = ToJson(with);
  REQUIRE(whole.size() == 7);
  nlohmann::json fields = whole;
  fields.erase(fields.begin() + 6);
  OrderAnswer without;
  FromJson(fields, without);
  CHECK(without.unreadable_from == -1);
  without.unreadable_from = with.unreadable_from;
  CHECK(without == with);
  // The first six fields are what an older host reads: all ends that could be read.
  CHECK(std::equal(fields.begin(), fields.end(), whole.begin()));
}

TEST_CASE("a relayed answer tells why it is missing") {
  for (const UnansweredReason reason :
       {UnansweredReason::kSilence, UnansweredReason::kNoConnectionFree, UnansweredReason::kConnectionRefused}) {
    OrderReply reply{11, AnswerOf(OrderStatus::kUnknown), 60s};
    reply.answer.reason = reason;
    const tl::expected<Message, std::string> read = DecodeMessage(EncodeMessage(reply));
    REQUIRE(read.has_value());
    CHECK(std::get<OrderReply>(*read) == reply);
  }
}

TEST_CASE("messages come back as they were") {
  const std::vector<Message> messages = {
      CallerRequest{7, "h1", CallerKind::kSubmit, "q", JobId(1), EncodeRecord(RichJob()), 12, 2s, "00ff"},
      CallerReply{7, CallerOutcome::kRejected, JobState::kRunning, 5, 1500ms, 12},
      AdviceRequest{8, "h2", TaskRef{JobId(1), 0, 1, 0}, {"w1", "w2"}, 700ms},
      AdviceReply{8, true, {Ticket{"w1", "t"}}},
      OwnerQuery{"h3"},
      OwnerAnnouncement{99, "h1", "10.0.0.1:7"},
      OwnershipHandover{99},
      StartRequest{9, "h1", 12, WorkerTarget{"w1", "w1:1", "dc"},
                   StartOrder{RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, "work", 5s, 12, "00ff", "t"}, 70s},
      StopRequest{10, "h1", 12, WorkerTarget{"w1", "w1:1", "dc"}, RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, 12},
      HoldRequest{11, "h1", 12, WorkerTarget{"w1", "w1:1", "dc"}, HoldOrder{12, 4, 5s, 1s}},
      OrderReply{11,
                 OrderAnswer{OrderStatus::kOk,
                             5s,
                             1'700'000'000'123,
                             {RunningRun{RunRef{TaskRef{JobId(1), 0, 1, 2}, 3}, "00ff", 40}},
                             {EndedRun{4, RunRef{TaskRef{JobId(1), 0, 1, 2}, 2}, EndKind::kFailed, ""}}},
                 77s},
  };
  for (const Message& message : messages) {
    CHECK(DecodeMessage(EncodeMessage(message)) == message);
  }
  CHECK_FALSE(DecodeMessage("x").has_value());
  CHECK_FALSE(DecodeMessage("").has_value());
}

TEST_CASE("jobs that cannot be meant are told what is wrong") {
  CHECK(ProblemOf(RichJob()).empty());
  JobSpec job = RichJob();
  job.id = "short";
  CHECK(ProblemOf(job).find("job id") != std::string::npos);
  job = RichJob();
  job.steps[0].after = {0};
  CHECK(ProblemOf(job).find("earlier") != std::string::npos);
  job = RichJob();
  job.steps[0].count = 0;
  CHECK_FALSE(ProblemOf(job).empty());
  job = RichJob();
  job.steps[0].size.cpu_millis = -1;
  CHECK_FALSE(ProblemOf(job).empty());
  job = RichJob();
  job.steps.clear();
  CHECK_FALSE(ProblemOf(job).empty());
}

TEST_CASE("progress of a job is restored, failed starts and all") {
  Job job;
  job.record.spec = JobOf(1, {StepOf(3, 1000), StepOf(2, 1000)});
  job.occurrences.emplace(0, MakeOccurrence(job, 0, 0));
  job.next_occurrence = 1;
  StepRun& step = *job.occurrences.at(0).steps[0];
  step.tasks[0].phase = TaskPhase::kDone;
  step.done = 1;
  step.waiting = 2;
  step.tasks[1].failed_runs = {1, 4};
  Job restored;
  restored.record.spec = job.record.spec;
  ApplyProgress(restored, ProgressOf(job), 1000);
  const StepRun& again = *restored.occurrences.at(0).steps[0];
  CHECK(again.done == 1);
  CHECK(again.waiting == 2);
  CHECK(again.tasks[1].failed_runs == std::set<int>{1, 4});
  CHECK(again.tasks[1].run == 1000);
}

CandidateView RoomOf(int64_t capacity, int64_t free, bool reserved = false) {
  CandidateView room;
  room.capacity = Resources{capacity, 100'000, 0};
  room.free = Resources{free, 100'000, 0};
  room.reserved = reserved;
  return room;
}

TEST_CASE("a single task goes where it fits tightest, off reserved workers if it can") {
  const TaskDemand need{Resources{4000, 100, 0}, 0};
  CHECK(TightestFit({RoomOf(16'000, 16'000), RoomOf(16'000, 5000), RoomOf(16'000, 3000)}, need) == 1);
  CHECK(TightestFit({RoomOf(16'000, 16'000), RoomOf(16'000, 5000, true)}, need) == 0);
  CHECK(TightestFit({RoomOf(16'000, 5000, true)}, need) == 0);
  CHECK_FALSE(TightestFit({RoomOf(16'000, 3000)}, need).has_value());
}

TEST_CASE("a gang fits as a whole or not at all") {
  const TaskDemand need{Resources{5000, 100, 0}, 0};
  const std::vector<CandidateView> rooms = {RoomOf(16'000, 16'000), RoomOf(16'000, 6000), RoomOf(16'000, 11'000)};
  CHECK(FitGang(rooms, need, 6, false) == std::vector<int>{3, 1, 2});
  CHECK(FitGang(rooms, need, 7, false).empty());
  CHECK(FitGang(rooms, need, 3, false) == std::vector<int>{3, 0, 0});
  const TaskDemand spread{Resources{5000, 100, 0}, 1};
  CHECK(FitGang(rooms, spread, 3, false) == std::vector<int>{1, 1, 1});
  CHECK(FitGang(rooms, spread, 4, false).empty());
}

TEST_CASE("a gang reserves as few workers as the gang needs when they are empty") {
  const TaskDemand need{Resources{8000, 100, 0}, 0};
  const std::vector<CandidateView> rooms = {RoomOf(16'000, 1000), RoomOf(16'000, 9000), RoomOf(16'000, 500)};
  CHECK(SelectWorkersToReserve(rooms, need, 3) == std::vector<size_t>{1, 0});
  CHECK(SelectWorkersToReserve(rooms, need, 7).empty());
}

}  // namespace
}  // namespace hibiscus::cell
