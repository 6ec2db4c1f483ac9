// The callers' HTTP port of a real daemon under bad input: a clear error, nothing lost, the process stays up, and
// nobody else pays. Store, list, worker and backend server are an embedded stand-in. Waits are for conditions, never
// for times.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/core.h>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/records.h"
#include "daemon/daemon.h"
#include "ports/http_client.h"
#include "ports/json_codec.h"
#include "standins/standin.h"

namespace hibiscus {

namespace {

using Json = nlohmann::json;

constexpr size_t kBodyLimit = 4096;
constexpr std::chrono::milliseconds kPoll(5);

// One host with its outside systems, and a configuration in force.
class OneHostCell {
 public:
  explicit OneHostCell(const HttpServerOptions& http = {}) {
    StandinOptions options;
    options.workers = {"w1"};
    options.servers = {"s1"};
    options.service_time = 1ms;
    standin_ = std::make_unique<Standin>(options);
    const std::string outside = fmt::format("127.0.0.1:{}", standin_->port());
    const std::vector<ListEntry> entries = {{ListKind::kWorker, "w1", "dc", "r1", outside, false},
                                            {ListKind::kServer, "s1", "dc", "r1", outside, false}};
    standin_->SetHosts(EncodeJson(entries));
    DaemonSettings settings;
    settings.host.name = "a1";
    settings.host.data_centre = "dc";
    settings.http = http;
    settings.http.body_limit = kBodyLimit;
    settings.peer_address = "127.0.0.1:0";
    settings.store_address = outside;
    settings.list_address = outside;
    settings.leave_linger = 1h;  // Ended by Stop.
    daemon_ = std::make_unique<Daemon>(settings);
    thread_ = std::thread([this] { daemon_->Run(); });
    Configure();
  }

  ~OneHostCell() {
    daemon_->Stop();
    thread_.join();
  }

  uint16_t port() const { return daemon_->http_port(); }
  Daemon& daemon() { return *daemon_; }

  Json Ask(const std::string& method, const std::string& path, const std::string& body = {}) const {
    const HttpResult result = HttpFetch({method, fmt::format("http://127.0.0.1:{}{}", port(), path), body, 60s});
    Json json = Json::parse(result.body, nullptr, false);
    json["http"] = result.status;
    return json;
  }

  Json Submit(const std::string& body) const { return Ask("POST", "/v1/requests", body); }

  // A call that must be served whole: what went before has cost nobody else anything.
  void CheckServes() const {
    static int count = 0;
    const std::string id = fmt::format("good-{}", ++count);
    const Json answer = Submit(fmt::format(R"({{"tenant":"t","id":"{}","class":"call","attempt":1}})", id));
    CHECK(answer["code"] == 100);
    CHECK(answer["body"] == fmt::format("<t/{}/0>", id));
  }

 private:
  void Configure() const {
    Configuration configuration;
    configuration.classes = {{"call", WorkKind::kCall, 30s, 60s, true},
                             {"once", WorkKind::kCall, 30s, 60s, false},
                             {"batch", WorkKind::kBatch, 30s, 60s, true}};
    const std::string text = EncodeConfiguration(configuration);
    const std::string set = fmt::format(R"({{"expected_version":0,"change_id":"c1","configuration":{}}})", text);
    while (Ask("GET", "/v1/config")["configuration"]["version"] != 1) {
      Ask("PUT", "/v1/config", set);
      std::this_thread::sleep_for(kPoll);
    }
    while (Ask("GET", "/v1/status")["workers_leased"] != 1 || Warm()["code"] != 100) {
      std::this_thread::sleep_for(kPoll);
    }
  }

  Json Warm() const {
    static int count = 0;
    return Submit(fmt::format(R"({{"tenant":"t","id":"warm-{}","class":"call","attempt":1}})", ++count));
  }

  std::unique_ptr<Standin> standin_;
  std::unique_ptr<Daemon> daemon_;
  std::thread thread_;
};

// A caller that speaks bytes.
class RawCaller {
 public:
  explicit RawCaller(uint16_t port) : socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    connected_ = connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;  // NOLINT
  }
  ~RawCaller() { close(socket_); }
  RawCaller(const RawCaller&) = delete;
  RawCaller& operator=(const RawCaller&) = delete;

  bool connected() const { return connected_; }
  bool Send(const std::string& bytes) const {
    return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size());
  }
  void CloseSending() const { shutdown(socket_, SHUT_WR); }

  // All bytes until the far side closes.
  std::string ReadAll() const { return Read({}); }

  // All bytes up to a text, or until the far side closes.
  std::string ReadUntil(const std::string& end) const { return Read(end); }

 private:
  std::string Read(const std::string& end) const {
    std::string all;
    char buffer[4096];
    for (ssize_t count = 1; count > 0 && (end.empty() || all.find(end) == std::string::npos);) {
      count = recv(socket_, buffer, sizeof buffer, 0);
      all.append(buffer, count > 0 ? static_cast<size_t>(count) : 0);
    }
    return all;
  }

  int socket_;
  bool connected_ = false;
};

std::string Post(const std::string& headers, const std::string& body) {
  return fmt::format("POST /v1/requests HTTP/1.1\r\nHost: x\r\nConnection: close\r\n{}\r\n{}", headers, body);
}

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

struct BadRequest {
  std::string body;
  int code;
  std::string detail;
};

}  // namespace

TEST_CASE("a malformed request gets its code and a sentence, and nothing runs") {
  const OneHostCell cell;
  const std::vector<BadRequest> all = {
      {"", 500, "parse"},
      {"{", 500, "parse"},
      {"[]", 500, "the body must be a JSON object"},
      {R"({"tenant":"t","id":"1"})", 500, "'class' is missing"},
      {R"({"tenant":"","id":"1","class":"call"})", 500, "'tenant' must have 1 to 200 bytes"},
      {R"({"tenant":"t","id":7,"class":"call"})", 500, "'id' must be a string"},
      {R"({"tenant":"t","id":"1","class":"call","payload":7})", 500, "'payload' must be a string"},
      {R"({"tenant":"t","id":"1","class":"call","deferred":"yes"})", 500, "'deferred' must be true or false"},
      {R"({"tenant":"t","id":"1","class":"batch","cpu_millis":-1})", 500, "'cpu_millis' is -1, it must be 0 to"},
      {R"({"tenant":"t","id":"1","class":"batch","memory_mb":-5})", 500, "'memory_mb' is -5, it must be 0 to"},
      {R"({"tenant":"t","id":"1","class":"batch","cpu_millis":1.5})", 500, "'cpu_millis' must be a whole number"},
      {R"({"tenant":"t","id":"1","class":"batch","cpu_millis":18446744073709551615})", 500,
       "'cpu_millis' is 18446744073709551615, it must be 0 to"},
      {R"({"tenant":"t","id":"1","class":"batch","members":0})", 500, "'members' is 0, it must be 1 to 1024"},
      {R"({"tenant":"t","id":"1","class":"batch","members":2})", 500, ""},
      {R"({"tenant":"t","id":"1","class":"batch","run_ms":-1})", 500, "'run_ms' is -1"},
      {R"({"tenant":"t","id":"1","class":"nothing"})", 501, ""},
      {R"({"tenant":"t","id":"1","class":"batch","attempt":1,"cpu_millis":64001})", 208, ""},
  };
  for (const BadRequest& bad : all) {
    INFO(bad.body);
    const Json answer = cell.Submit(bad.body);
    CHECK(answer["code"] == bad.code);
    CHECK(answer["verdict"] == "not_run");
    CHECK(answer["meaning"].is_string());
    CHECK(Contains(answer.value("detail", ""), bad.detail));
  }
  CHECK(cell.Ask("GET", "/nowhere")["code"] == 503);
  CHECK(cell.Ask("PATCH", "/v1/requests")["code"] == 503);
  CHECK(cell.Ask("PUT", "/v1/config", "{}")["code"] == 500);
  for (const char* count : {"", "0", "101", "-1", "5x", "99999999999"}) {
    CHECK(cell.Ask("GET", fmt::format("/v1/config/history/{}", count))["code"] == 500);
  }
  cell.CheckServes();
}

TEST_CASE("an id with another body is refused, and the first answer stands") {
  const OneHostCell cell;
  const std::string first = R"({"tenant":"t","id":"bill","class":"once","attempt":1,"payload":"x"})";
  const std::string other = R"({"tenant":"t","id":"bill","class":"once","attempt":2,"payload":"y"})";
  CHECK(cell.Submit(first)["code"] == 100);
  CHECK(cell.Submit(other)["code"] == 502);
  CHECK(cell.Submit(first)["body"] == "<t/bill/0>");
}

TEST_CASE("the history of the configuration names each version's change") {
  const OneHostCell cell;
  const Json history = cell.Ask("GET", "/v1/config/history/5");
  CHECK(history["code"] == 100);
  REQUIRE(history["versions"].size() == 1);
  CHECK(history["versions"][0]["version"] == 1);
  CHECK(history["versions"][0]["change_id"] == "c1");
}

TEST_CASE("bodies that are cut short or of a wrong length never reach the core") {
  const OneHostCell cell;
  const std::string body = R"({"tenant":"t","id":"cut","class":"call","attempt":1})";
  SECTION("the caller goes away in mid-body") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: 500\r\n", body)));
  }
  SECTION("the caller stops sending in mid-body") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: 500\r\n", body)));
    caller.CloseSending();
    CHECK_FALSE(Contains(caller.ReadAll(), "200 OK"));
  }
  SECTION("the length is no number") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: many\r\n", body)));
    CHECK(Contains(caller.ReadAll(), "HTTP/1.1 400"));
  }
  SECTION("the length is below zero") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: -5\r\n", body)));
    CHECK(Contains(caller.ReadAll(), "HTTP/1.1 400"));
  }
  SECTION("the length is shorter than the body") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: 20\r\n", body)));
    CHECK(Contains(caller.ReadAll(), "HTTP/1.1 400"));
  }
  CHECK(cell.Ask("GET", "/v1/requests/t/cut")["code"] == 503);
  cell.CheckServes();
}

TEST_CASE("what is too large is refused with its code") {
  const OneHostCell cell;
  CHECK(cell.Submit(std::string(kBodyLimit + 1, 'x'))["code"] == 505);
  SECTION("a body far beyond the limit is refused unread") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: 99999999999\r\n", "x")));
    CHECK(Contains(caller.ReadAll(), R"("code":505)"));
  }
  SECTION("a header") {
    const RawCaller caller(cell.port());
    caller.Send(Post(fmt::format("X-Large: {}\r\n", std::string(100'000, 'x')), ""));
    CHECK(Contains(caller.ReadAll(), "HTTP/1.1 431"));
  }
  cell.CheckServes();
}

TEST_CASE("a caller that stops sending after its whole request gets the whole answer") {
  const OneHostCell cell;
  const std::string body = R"({"tenant":"t","id":"half","class":"call","attempt":1})";
  const RawCaller caller(cell.port());
  REQUIRE(caller.Send(Post(fmt::format("Content-Length: {}\r\n", body.size()), body)));
  caller.CloseSending();
  CHECK(Contains(caller.ReadAll(), "<t/half/0>"));
}

TEST_CASE("a caller whose request drips in is ended although it never falls idle") {
  HttpServerOptions http;
  http.request_timeout = 300ms;
  const OneHostCell cell(http);
  const auto drip = [&](const RawCaller& caller) {
    while (caller.Send("x")) {
      std::this_thread::sleep_for(kPoll);
    }
    return caller.ReadAll();
  };
  SECTION("in its body") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send(Post("Content-Length: 4000\r\n", "{")));
    CHECK(Contains(drip(caller), "HTTP/1.1 408"));
  }
  SECTION("in a header") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send("POST /v1/requests HTTP/1.1\r\nX-Slow: "));
    CHECK(Contains(drip(caller), "HTTP/1.1 408"));
  }
  SECTION("in its first line") {
    const RawCaller caller(cell.port());
    REQUIRE(caller.Send("POST /"));
    CHECK_FALSE(Contains(drip(caller), "200 OK"));
  }
  cell.CheckServes();
}

TEST_CASE("nine thousand idle connections cost no caller its answer") {
  constexpr size_t kIdle = 9'000;  // Both ends are in this process; tests/process goes to 10,000.
  HttpServerOptions http;
  http.connection_limit = kIdle + 1000;
  const OneHostCell cell(http);
  std::vector<std::unique_ptr<RawCaller>> idle;
  while (idle.size() < kIdle) {
    idle.push_back(std::make_unique<RawCaller>(cell.port()));
    REQUIRE(idle.back()->connected());
  }
  cell.CheckServes();
}

TEST_CASE("more idle connections than the host takes do not lock other callers out") {
  HttpServerOptions http;
  http.connection_limit = 64;
  const OneHostCell cell(http);
  constexpr size_t kIdle = 300;
  std::vector<std::unique_ptr<RawCaller>> idle;
  idle.reserve(kIdle);
  while (idle.size() < kIdle) {
    idle.push_back(std::make_unique<RawCaller>(cell.port()));
  }
  cell.CheckServes();
  CHECK(idle.front()->ReadAll().empty());
}

TEST_CASE("a planned stop answers what comes on connections that were made before it") {
  HttpServerOptions options;
  options.first_request_timeout = 60s;
  std::unique_ptr<HttpServer> server;
  server = std::make_unique<HttpServer>(options, [&](HttpServer::ExchangeId id, const HttpRequest&) {
    server->Reply(id, HttpReply{200, "whole"});
  });
  const uint16_t port = server->port();
  const RawCaller kept(port);
  REQUIRE(kept.Send("GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(Contains(kept.ReadUntil("whole"), "200 OK"));
  const RawCaller fresh(port);
  REQUIRE(fresh.connected());
  std::thread stopper([&] {
    server->Drain(120s);
    CHECK(server->open_connections() == 0);
    server.reset();
  });
  while (RawCaller(port).connected()) {
    std::this_thread::sleep_for(kPoll);
  }
  CHECK(kept.ReadAll().empty());
  REQUIRE(fresh.Send("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n"));
  CHECK(Contains(fresh.ReadAll(), "whole"));
  stopper.join();
}

TEST_CASE("health says leaving as soon as the planned stop is asked for") {
  OneHostCell cell;
  CHECK(cell.Ask("GET", "/v1/health")["http"] == 200);
  cell.daemon().Leave();
  CHECK(cell.Ask("GET", "/v1/health")["http"] == 503);
  const Json answer = cell.Submit(R"({"tenant":"t","id":"late","class":"call","attempt":1})");
  CHECK(answer["code"] == 206);
  CHECK(answer["verdict"] == "not_run");
}

}  // namespace hibiscus
