// Settings: each bad value's message names the flag, the value, the range and the unit.
#include "daemon/settings.h"

#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

#include <gflags/gflags.h>
#include <catch2/catch.hpp>

namespace hibiscus {

namespace {

tl::expected<ParsedSettings, std::string> Read(std::vector<std::string> words) {
  const gflags::FlagSaver saver;
  words.insert(words.begin(), {"hibiscusd", "--name=a1", "--data_centre=dc-a", "--connections=100"});
  std::vector<char*> argv;
  argv.reserve(words.size());
  for (std::string& word : words) {
    argv.push_back(word.data());
  }
  int argc = static_cast<int>(argv.size());
  char** arguments = argv.data();
  return ReadSettings(&argc, &arguments);
}

struct BadValue {
  std::string word;
  std::string message;
};

}  // namespace

TEST_CASE("good settings are taken over") {
  const auto settings = Read({"--http=127.0.0.1:25990", "--suspect_ms=900", "--leave_limit_ms=100"});
  REQUIRE(settings);
  CHECK(settings->daemon.host.name == "a1");
  CHECK(settings->daemon.http.port == 25'990);
  CHECK(settings->daemon.host.suspect_timeout == 900ms);
  CHECK(settings->daemon.host.leave_timeout == 100ms);
  CHECK_FALSE(settings->check_only);
}

TEST_CASE("each bad value is named with its range and unit") {
  const auto bad = GENERATE(values<BadValue>({
      {"--name=", "--name is ''; it must be a name of at least 1 letter"},
      {"--data_centre=", "--data_centre is ''; it must be a name of at least 1 letter"},
      {"--http=nowhere", "--http is 'nowhere'; it must be ip:port, port 0 to 65535"},
      {"--peer=127.0.0.1:", "--peer is '127.0.0.1:'; it must be ip:port, port 0 to 65535"},
      {"--store=127.0.0.1:70000", "--store is '127.0.0.1:70000'; it must be ip:port, port 0 to 65535"},
      {"--list=:1", "--list is ':1'; it must be ip:port, port 0 to 65535"},
      {"--connections=15", "--connections is '15'; it must be 16 to 20000 connections"},
      {"--connections=many", "--connections is 'many'; it must be 16 to 20000 connections"},
      {"--idle_timeout_s=0", "--idle_timeout_s is '0'; it must be 1 to 3600 seconds"},
      {"--request_limit_s=3601", "--request_limit_s is '3601'; it must be 1 to 3600 seconds"},
      {"--body_limit_kb=-1", "--body_limit_kb is '-1'; it must be 1 to 65536 kibibytes"},
      {"--heartbeat_ms=49", "--heartbeat_ms is '49'; it must be 50 to 5000 milliseconds"},
      {"--suspect_ms=1s", "--suspect_ms is '1s'; it must be 200 to 60000 milliseconds"},
      {"--suspect_ms=749",
       "--suspect_ms is '749'; it must be 750 to 60000 milliseconds, 3 times --heartbeat_ms at "
       "least"},
      {"--control_lease_ms=99999999999", "--control_lease_ms is '99999999999'; it must be 1000 to 60000 milliseconds"},
      {"--leave_limit_ms=99", "--leave_limit_ms is '99'; it must be 100 to 3600000 milliseconds"},
      {"--leave_linger_ms=-1", "--leave_linger_ms is '-1'; it must be 0 to 600000 milliseconds"},
      {"--worker_connections=0", "--worker_connections is '0'; it must be 4 to 65535 connections"},
      {"--worker_connections=3", "--worker_connections is '3'; it must be 4 to 65535 connections"},
      {"--log_level=loud", "--log_level is 'loud'; it must be debug, info, warning or error"},
      {"word", "'word' is no flag; see --help"},
  }));
  const auto settings = Read({bad.word});
  REQUIRE_FALSE(settings);
  CHECK(settings.error() == bad.message);
}

TEST_CASE("the environment gives settings, and a flag goes before it") {
  setenv("FLAGS_heartbeat_ms", "200", 1);
  setenv("FLAGS_suspect_ms", "800", 1);
  const auto settings = Read({"--suspect_ms=700"});
  unsetenv("FLAGS_heartbeat_ms");
  unsetenv("FLAGS_suspect_ms");
  REQUIRE(settings);
  CHECK(settings->daemon.host.heartbeat_interval == 200ms);
  CHECK(settings->daemon.host.suspect_timeout == 700ms);
}

// A name that is not a setting is passed over at start, and makes each later reload of the file fail.
TEST_CASE("the settings file of the platform names only settings that exist") {
  std::ifstream file(HIBISCUS_SOURCE_DIR "/deploy/settings.flags");
  int named = 0;
  for (std::string line; std::getline(file, line);) {
    const size_t begin = line.find("--");
    REQUIRE(begin != std::string::npos);
    const std::string name = line.substr(begin + 2, line.find('=') - begin - 2);
    std::string current;
    INFO(line);
    CHECK(gflags::GetCommandLineOption(name.c_str(), &current));
    ++named;
  }
  CHECK(named > 0);
}

TEST_CASE("a host opens its share of the connections that a worker accepts, two at least") {
  CHECK(Read({"--worker_connections=64"})->cell.worker_connections == ConnectionLimits{.total = 4, .urgent = 1});
  CHECK(Read({"--worker_connections=48"})->cell.worker_connections == ConnectionLimits{.total = 3, .urgent = 1});
  CHECK(Read({"--worker_connections=4"})->cell.worker_connections == ConnectionLimits{.total = 2, .urgent = 1});
  CHECK(Read({"--worker_connections=65535"})->cell.worker_connections == ConnectionLimits{.total = 4, .urgent = 1});
}

TEST_CASE("check and help are seen") {
  CHECK(Read({"--check"})->check_only);
  CHECK(Read({"--help"})->help_only);
  CHECK(SettingsHelp().find("--heartbeat_ms") != std::string::npos);
  CHECK(SettingsHelp().find("50 to 5000 milliseconds (default 250)") != std::string::npos);
}

}  // namespace hibiscus
