#include "store.h"

#include <algorithm>
#include <cstdlib>
#include <set>
#include <thread>
#include <utility>

namespace review {

namespace {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
constexpr std::chrono::milliseconds kAnswerTime(4);
constexpr int kMinTtlMs = 1000;
constexpr size_t kPageItems = 500;

HttpResponse Answer(const Json& body) {
  return HttpResponse{200, body.dump(), false};
}

uint64_t IdOf(const std::string& path) {
  return std::strtoull(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
}

}  // namespace

std::string ToBase64(const std::string& bytes) {
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text += i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63U] : '=';
    }
  }
  return text;
}

std::string FromBase64(const std::string& text) {
  std::string bytes;
  uint32_t group = 0;
  int bits = 0;
  for (const char c : text) {
    const char* digit = c == '=' ? nullptr : std::find(kDigits, kDigits + 64, c);
    if (digit == nullptr || digit == kDigits + 64) {
      break;
    }
    group = group << 6 | static_cast<uint32_t>(digit - kDigits);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      bytes += static_cast<char>(group >> bits & 255U);
    }
  }
  return bytes;
}

Store::Store(size_t hosts) : cut_(hosts, false) {
  for (size_t host = 0; host < hosts; ++host) {
    servers_.push_back(std::make_unique<HttpServer>(
        "127.0.0.1", 0, [this, host](const HttpRequest& request) { return Handle(host, request); }));
  }
  ticker_ = std::thread([this] { TickLoop(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  ticker_.join();
  servers_.clear();
}

void Store::TickLoop() {
  std::unique_lock lock(mutex_);
  while (!stopping_) {
    lock.unlock();
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    lock.lock();
    ExpireLeases();
  }
}

void Store::SetView(View view) {
  const std::lock_guard lock(mutex_);
  view_ = std::move(view);
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  Write(key, value, 0, ++revision_);
  changed_.notify_all();
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.contains(key)) {
    Erase(key, ++revision_);
    changed_.notify_all();
  }
}

std::optional<std::string> Store::Get(const std::string& key) {
  const std::lock_guard lock(mutex_);
  const auto found = items_.find(key);
  return found == items_.end() ? std::nullopt : std::optional(found->second.value);
}

void Store::SetCut(size_t host, bool cut) {
  const std::lock_guard lock(mutex_);
  cut_[host] = cut;
}

int Store::last_conditional_writer() {
  const std::lock_guard lock(mutex_);
  return last_writer_;
}

void Store::Write(const std::string& key, const std::string& value, uint64_t lease, uint64_t revision) {
  Item& item = items_[key];
  item.created = item.created == 0 ? revision : item.created;
  item.value = value;
  item.lease = lease;
  item.revision = revision;
  events_.push_back(Event{key, false, item});
}

void Store::Erase(const std::string& key, uint64_t revision) {
  items_.erase(key);
  Event event{key, true, {}};
  event.item.revision = revision;
  events_.push_back(event);
}

void Store::DropKeysOf(uint64_t lease) {
  std::vector<std::string> keys;
  for (const auto& [key, item] : items_) {
    if (item.lease == lease) {
      keys.push_back(key);
    }
  }
  if (!keys.empty()) {
    ++revision_;
  }
  for (const std::string& key : keys) {
    Erase(key, revision_);
  }
  changed_.notify_all();
}

void Store::ExpireLeases() {
  for (auto lease = leases_.begin(); lease != leases_.end();) {
    if (lease->second.until > Clock::now()) {
      ++lease;
      continue;
    }
    const uint64_t id = lease->first;
    lease = leases_.erase(lease);
    DropKeysOf(id);
  }
}

Json Store::Render(size_t host, const std::string& key, const Item& item) const {
  const std::string value = view_ ? view_(host, key, item.value) : item.value;
  return Json{{"Key", key},
              {"Value", ToBase64(value)},
              {"Revision", item.revision},
              {"Created", item.created},
              {"Lease", item.lease}};
}

HttpResponse Store::Handle(size_t host, const HttpRequest& request) {
  std::this_thread::sleep_for(kAnswerTime);
  std::unique_lock lock(mutex_);
  if (cut_[host]) {
    return HttpResponse{0, "", true};
  }
  ExpireLeases();
  HttpResponse response{404, "{}", false};
  const auto query = [&](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  if (request.path == "/kv-key") {
    response = ReadKey(host, query("Key"));
  } else if (request.path == "/kv-range") {
    response = ReadRange(host, query("Prefix"), query("After"));
  } else if (request.path == "/kv-watch") {
    response = Watch(host, request, lock);
  } else if (request.path == "/kv-txn") {
    response = Transact(host, Json::parse(request.body));
  } else if (request.path == "/kv-lease") {
    response = GrantLease(Json::parse(request.body));
  } else if (request.path.starts_with("/kv-keep/")) {
    response = KeepLease(IdOf(request.path));
  } else if (request.path.starts_with("/kv-lease-end/")) {
    response = EndLease(IdOf(request.path));
  }
  response.silent = response.silent || cut_[host];
  return response;
}

HttpResponse Store::ReadKey(size_t host, const std::string& key) {
  const auto found = items_.find(key);
  if (found == items_.end()) {
    return HttpResponse{404, Json{{"AtRev", revision_}}.dump(), false};
  }
  Json body = Render(host, key, found->second);
  body["AtRev"] = revision_;
  return Answer(body);
}

HttpResponse Store::ReadRange(size_t host, const std::string& prefix, const std::string& after) {
  Json rows = Json::array();
  bool more = false;
  for (const auto& [key, item] : items_) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    more = rows.size() >= kPageItems;
    if (more) {
      break;
    }
    rows.push_back(Render(host, key, item));
  }
  return Answer(Json{{"items", rows}, {"HasMore", more}, {"AtRev", revision_}});
}

HttpResponse Store::Watch(size_t host, const HttpRequest& request, std::unique_lock<std::mutex>& lock) {
  const std::string prefix = request.query.at("Prefix");
  const uint64_t after = std::strtoull(request.query.at("After").c_str(), nullptr, 10);
  const auto until = Clock::now() + std::chrono::milliseconds(std::atoi(request.query.at("WaitMs").c_str()));
  Json rows = Json::array();
  while (!stopping_) {
    for (const Event& event : events_) {
      if (event.item.revision <= after || !event.key.starts_with(prefix)) {
        continue;
      }
      rows.push_back(event.deleted ? Json{{"Key", event.key}, {"Revision", event.item.revision}, {"Deleted", true}}
                                   : Render(host, event.key, event.item));
    }
    if (!rows.empty() || changed_.wait_until(lock, until) == std::cv_status::timeout) {
      break;
    }
  }
  return Answer(Json{{"events", rows}, {"AtRev", revision_}});
}

HttpResponse Store::Transact(size_t host, const Json& body) {
  Json states = Json::array();
  bool holds = true;
  for (const Json& check : body.at("Expect")) {
    const std::string key = check.at("Key");
    const auto found = items_.find(key);
    holds = holds && (found == items_.end() ? 0 : found->second.revision) == check.at("Revision").get<uint64_t>();
    if (found != items_.end()) {
      states.push_back(Render(host, key, found->second));
    }
  }
  if (!holds) {
    return HttpResponse{412, Json{{"items", states}}.dump(), false};
  }
  for (const Json& write : body.at("Writes")) {
    const uint64_t lease = write.value("Lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return HttpResponse{404, "{}", false};
    }
  }
  ++revision_;
  for (const Json& write : body.at("Writes")) {
    Write(write.at("Key"), FromBase64(write.at("Value")), write.value("Lease", uint64_t{0}), revision_);
  }
  for (const Json& key : body.at("Remove")) {
    if (items_.contains(key.get<std::string>())) {
      Erase(key, revision_);
    }
  }
  last_writer_ = body.at("Expect").empty() ? last_writer_ : static_cast<int>(host);
  changed_.notify_all();
  return Answer(Json{{"Revision", revision_}});
}

HttpResponse Store::GrantLease(const Json& body) {
  const int ttl_ms = std::max(kMinTtlMs, body.at("TtlMs").get<int>());
  leases_[++last_lease_] = Lease{Clock::now() + std::chrono::milliseconds(ttl_ms), ttl_ms};
  return Answer(Json{{"Lease", last_lease_}, {"TtlMs", ttl_ms}});
}

HttpResponse Store::KeepLease(uint64_t id) {
  const auto found = leases_.find(id);
  if (found == leases_.end()) {
    return HttpResponse{404, "{}", false};
  }
  found->second.until = Clock::now() + std::chrono::milliseconds(found->second.ttl_ms);
  return Answer(Json{{"TtlMs", found->second.ttl_ms}});
}

HttpResponse Store::EndLease(uint64_t id) {
  if (leases_.erase(id) == 0) {
    return HttpResponse{404, "{}", false};
  }
  DropKeysOf(id);
  return Answer(Json::object());
}

}  // namespace review
