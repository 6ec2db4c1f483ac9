// The structured log on a real pipe: what reaches a reader.
#include <catch2/catch.hpp>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <climits>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

#include <fmt/core.h>

#include "ports/boot_clock.h"
#include "ports/event_log.h"

namespace hibiscus {
namespace {

constexpr int kLines = 3000;

// A pipe whose reader takes the bytes of each write by themselves, and a page at most: what a longer write carries
// beyond that comes as another packet.
struct PacketPipe {
  int ends[2] = {-1, -1};

  PacketPipe() { REQUIRE(pipe2(ends, O_DIRECT) == 0); }
  ~PacketPipe() {
    close(ends[0]);
    CloseWriter();
  }
  PacketPipe(const PacketPipe&) = delete;
  PacketPipe& operator=(const PacketPipe&) = delete;
  void CloseWriter() { close(std::exchange(ends[1], -1)); }
};

struct Received {
  int lines = 0;    // Whole ones of the test.
  int dropped = 0;  // As the log says.
  int torn = 0;     // Packets that end within a line, or lines that are not whole.
  size_t largest_packet = 0;
};

void TakeLine(Received& received, std::string_view line) {
  const size_t dropped = line.find("event=lines_dropped");
  if (dropped != std::string_view::npos) {
    const std::string_view count = line.substr(line.find("count=") + std::string_view("count=").size());
    received.dropped += std::stoi(std::string(count));
  } else if (line.find("event=test number=") != std::string_view::npos && line.substr(line.size() - 4) == " end") {
    ++received.lines;
  } else {
    ++received.torn;
  }
}

Received ReadAll(int descriptor, Duration pause) {
  Received received;
  std::string packet(size_t{1} << 16, '\0');
  for (ssize_t size = 0; (size = read(descriptor, packet.data(), packet.size())) > 0;) {
    std::string_view rest(packet.data(), static_cast<size_t>(size));
    received.largest_packet = std::max(received.largest_packet, rest.size());
    received.torn += rest.back() == '\n' ? 0 : 1;
    while (!rest.empty()) {
      const size_t end = std::min(rest.find('\n'), rest.size() - 1);
      TakeLine(received, rest.substr(0, end));
      rest.remove_prefix(end + 1);
    }
    std::this_thread::sleep_for(pause);
  }
  return received;
}

void WriteLines(int descriptor, size_t max_buffered_bytes) {
  constexpr int kPadding = 90;  // Characters, and up to 16 more.
  const BootClock clock;
  EventLog log(EventLogOptions{.host = "a1",
                               .max_lines_per_second = kLines,
                               .max_buffered_bytes = max_buffered_bytes,
                               .write_interval = 2ms,
                               .descriptor = descriptor},
               clock);
  for (int i = 0; i < kLines; ++i) {
    log.Write("test",
              fmt::format("event=test number={} {} end", i, std::string(static_cast<size_t>(kPadding + i % 17), 'x')));
  }
}

// Writes all lines while a reader takes them, pausing after each packet.
Received ReadWhileWriting(PacketPipe& pipe, size_t max_buffered_bytes, Duration pause) {
  std::thread writer([&] {
    WriteLines(pipe.ends[1], max_buffered_bytes);
    pipe.CloseWriter();
  });
  const Received received = ReadAll(pipe.ends[0], pause);
  writer.join();
  return received;
}

TEST_CASE("each write of the log carries whole lines and no more than a pipe takes at once") {
  PacketPipe pipe;
  const Received received = ReadWhileWriting(pipe, size_t{4} << 20, 0us);
  CHECK(received.torn == 0);
  CHECK(received.largest_packet <= PIPE_BUF);
  CHECK(received.lines == kLines);
}

TEST_CASE("with a slow reader each line comes out whole or is counted as dropped") {
  PacketPipe pipe;
  const Received received = ReadWhileWriting(pipe, size_t{16} << 10, 1ms);
  CHECK(received.torn == 0);
  CHECK(received.dropped > 0);
  CHECK(received.lines + received.dropped == kLines);
}

TEST_CASE("with a reader that is behind and a log that does not block, no line is torn") {
  PacketPipe pipe;
  REQUIRE(fcntl(pipe.ends[1], F_SETFL, O_NONBLOCK | O_DIRECT) == 0);
  const Received received = ReadWhileWriting(pipe, size_t{64} << 10, 1ms);
  CHECK(received.torn == 0);
}

TEST_CASE("a line longer than a pipe takes at once is cut short and says so") {
  PacketPipe pipe;
  std::thread writer([&] {
    const BootClock clock;
    EventLog log(EventLogOptions{.host = "a1", .descriptor = pipe.ends[1]}, clock);
    log.Write("test", "event=long " + std::string(10'000, 'x'));
    log.Write("test", "event=test number=1 end");
  });
  writer.join();
  pipe.CloseWriter();
  std::string packet(size_t{1} << 16, '\0');
  const ssize_t size = read(pipe.ends[0], packet.data(), packet.size());
  REQUIRE(size > 0);
  const std::string first = packet.substr(0, static_cast<size_t>(size));
  CHECK(first.size() <= PIPE_BUF);
  CHECK(first.find("event=long xxx") != std::string::npos);
  CHECK(first.substr(first.size() - 13) == " cut_short=1\n");
  const Received received = ReadAll(pipe.ends[0], 0us);
  CHECK(received.lines == 1);
}

}  // namespace
}  // namespace hibiscus
