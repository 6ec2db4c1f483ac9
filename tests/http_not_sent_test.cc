// Calls that the HTTP client reports as not sent, against what a server on loopback has received.
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <catch2/catch.hpp>

#include "ports/http_client.h"
#include "tests/loopback_listener.h"

namespace hibiscus {

namespace {

constexpr int kPollMs = 1;
constexpr Duration kCallTimeout = 150ms;
constexpr auto kEnough = std::chrono::seconds(30);  // A test fails if it waits longer.

// What a server does with a connection, drawn for each.
enum class Conduct {
  kAnswers,
  kResetsAtOnce,   // Before any request.
  kResetsRequest,  // Once a request has begun to arrive.
  kClosesIdle,     // Soon after an answer, as a server whose keep-alive time is over.
  kSilent,         // Receives, and answers nothing.
};
constexpr int kConducts = 5;

// Records the path of each request of which a byte has arrived that names it.
class RecordingServer {
 public:
  explicit RecordingServer(uint64_t seed) : random_(seed), listener_(SOCK_NONBLOCK) {
    thread_ = std::thread([this] { Run(); });
  }
  ~RecordingServer() {
    stopping_ = true;
    thread_.join();
    for (const auto& [fd, connection] : connections_) {
      close(fd);
    }
  }
  RecordingServer(const RecordingServer&) = delete;
  RecordingServer& operator=(const RecordingServer&) = delete;

  std::string UrlOf(int call) const { return fmt::format("http://{}/call-{}/", listener_.address(), call); }
  // Names of the calls that have arrived. Reads what the connections still hold first.
  std::set<std::string> TakeReceived() {
    stopping_ = true;
    thread_.join();
    thread_ = std::thread([] {});
    Accept();
    for (auto& [fd, connection] : connections_) {
      Read(fd, connection);
    }
    return received_;
  }

 private:
  struct Connection {
    Conduct conduct = Conduct::kAnswers;
    std::string unread;  // Of the request that is arriving.
    int answers = 0;
  };

  void Run() {
    while (!stopping_) {
      Accept();
      for (auto each = connections_.begin(); each != connections_.end();) {
        each = Serve(each->first, each->second) ? std::next(each) : connections_.erase(each);
      }
      poll(nullptr, 0, kPollMs);
    }
  }

  void Accept() {
    const int listener = listener_.socket_descriptor();
    for (int fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK); fd >= 0;
         fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK)) {
      connections_[fd].conduct = static_cast<Conduct>(random_() % kConducts);
    }
  }

  static void Reset(int fd) {
    const linger reset{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    close(fd);
  }

  // Returns false once the connection is closed. What had arrived by then is recorded.
  bool Serve(int fd, Connection& connection) {
    const bool open = Read(fd, connection);
    const bool ends_now = connection.conduct == Conduct::kResetsAtOnce ||
                          (connection.conduct == Conduct::kResetsRequest && !connection.unread.empty());
    if (!open || ends_now) {
      ends_now ? Reset(fd) : static_cast<void>(close(fd));
      return false;
    }
    const bool complete = connection.unread.find("\r\n\r\n") != std::string::npos;
    if (connection.conduct != Conduct::kSilent && complete) {
      static constexpr std::string_view kAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
      [[maybe_unused]] const ssize_t sent = send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL);
      connection.unread.clear();
      ++connection.answers;
    } else if (connection.conduct == Conduct::kClosesIdle && connection.answers > 0 && random_() % 2 == 0) {
      close(fd);
      return false;
    }
    return true;
  }

  // Returns false once the other side has closed the connection.
  bool Read(int fd, Connection& connection) {
    char bytes[4096];
    ssize_t size = 0;
    while ((size = recv(fd, bytes, sizeof(bytes), 0)) > 0) {
      connection.unread.append(bytes, static_cast<size_t>(size));
    }
    const size_t begin = connection.unread.find("/call-");
    const size_t end = connection.unread.find("/ ", begin);
    if (begin != std::string::npos && end != std::string::npos) {
      received_.insert(connection.unread.substr(begin, end + 1 - begin));
    }
    return size < 0 && errno == EAGAIN;
  }

  std::mt19937_64 random_;
  LoopbackListener listener_;
  std::map<int, Connection> connections_;
  std::set<std::string> received_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

struct Course {
  std::set<std::string> not_sent;
  std::set<std::string> answered;
  std::set<std::string> received;
  int unknown = 0;
};

Course PlayCourse(uint64_t seed, const HttpClientOptions& options, int calls) {
  RecordingServer server(seed);
  std::mt19937_64 random(seed);
  std::mutex mutex;
  Course course;
  int open = calls;
  std::promise<void> all_ended;
  HttpClient client(options);
  for (int call = 0; call < calls; ++call) {
    HttpCall sent{.url = server.UrlOf(call), .body = "{}", .timeout = kCallTimeout};
    sent.urgent = random() % 8 == 0;
    sent.new_connection = random() % 8 == 0;
    const uint64_t number = client.Send(sent, [&, name = fmt::format("/call-{}/", call)](const HttpResult& result) {
      const std::lock_guard lock(mutex);
      if (result.delivery == Delivery::kNotSent) {
        course.not_sent.insert(name);
      } else if (result.delivery == Delivery::kAnswered) {
        course.answered.insert(name);
      } else {
        ++course.unknown;
      }
      if (--open == 0) {
        all_ended.set_value();
      }
    });
    poll(nullptr, 0, random() % 3 == 0 ? static_cast<int>(random() % 6) : 0);
    if (random() % 10 == 0) {
      client.Cancel(number);
    }
  }
  REQUIRE(all_ended.get_future().wait_for(kEnough) == std::future_status::ready);
  course.received = server.TakeReceived();
  return course;
}

void CheckCourses(uint64_t first_seed, const HttpClientOptions& options) {
  constexpr int kCalls = 250;
  constexpr uint64_t kSeeds = 4;
  size_t not_sent = 0;
  for (uint64_t seed = first_seed; seed < first_seed + kSeeds; ++seed) {
    const Course course = PlayCourse(seed, options, kCalls);
    for (const std::string& name : course.not_sent) {
      INFO("seed " << seed << ", " << name);
      CHECK_FALSE(course.received.contains(name));
    }
    for (const std::string& name : course.answered) {
      INFO("seed " << seed << ", " << name);
      CHECK(course.received.contains(name));
    }
    not_sent += course.not_sent.size();
    CHECK_FALSE(course.answered.empty());
  }
  CHECK(not_sent > 0);
}

TEST_CASE("no call that is reported as not sent was received, with connections that break and fall silent") {
  CheckCourses(601, HttpClientOptions{});
}

TEST_CASE("no call that is reported as not sent was received, with a full pool of connections") {
  CheckCourses(611, HttpClientOptions{.connections = ConnectionLimits{.total = 3, .urgent = 1}});
}

}  // namespace

}  // namespace hibiscus
