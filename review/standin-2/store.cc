#include "store.h"

#include <algorithm>

namespace review {

namespace {

constexpr Millis kAnswerTime(4);
constexpr Millis kMinTtl(1000);
constexpr Millis kMaxTtl(600'000);
constexpr Millis kExpiryInterval(20);
constexpr size_t kMaxKeyBytes = 200;
constexpr size_t kMaxValueBytes = 1'048'576;
constexpr size_t kMaxEntries = 32;
constexpr size_t kPageItems = 500;
constexpr size_t kPageBytes = 1'000'000;
constexpr size_t kMaxEvents = 100'000;

std::string ToBase64(const std::string& bytes) {
  static constexpr char kDigits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t i = 0; i < bytes.size(); i += 3) {
    uint32_t group = 0;
    for (size_t k = 0; k < 3; ++k) {
      group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U);
    }
    for (size_t k = 0; k < 4; ++k) {
      text.push_back(i + k <= bytes.size() ? kDigits[group >> (18 - 6 * k) & 63] : '=');
    }
  }
  return text;
}

HttpResponse Answer(int status, const nlohmann::json& body) {
  return HttpResponse{status, body.dump()};
}

std::string Parameter(const HttpRequest& request, const std::string& name) {
  const auto found = request.query.find(name);
  return found == request.query.end() ? std::string() : found->second;
}

uint64_t NumberAtEnd(const std::string& path) {
  return std::strtoull(path.c_str() + path.rfind('/') + 1, nullptr, 10);
}

bool IsReserved(const std::string& key) {
  return key.starts_with("op/") || key.starts_with("servers/");
}

}  // namespace

Store::Store() : listener_([this](const HttpRequest& request) { return Serve(request); }) {
  address_ = "127.0.0.1:" + std::to_string(listener_.Start("127.0.0.1", 0));
  expiry_ = std::thread([this] {
    std::unique_lock lock(mutex_);
    while (!stopping_) {
      lock.unlock();
      std::this_thread::sleep_for(kExpiryInterval);
      lock.lock();
      ExpireLeases();
    }
  });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    changed_.notify_all();
  }
  expiry_.join();
  listener_.Stop();
}

void Store::Put(const std::string& key, const std::string& value) {
  const std::lock_guard lock(mutex_);
  ++revision_;
  Write(key, ToBase64(value), 0);
}

void Store::Remove(const std::string& key) {
  const std::lock_guard lock(mutex_);
  if (items_.contains(key)) {
    ++revision_;
    Erase(key);
  }
}

void Store::SetSilent(bool silent) {
  const std::lock_guard lock(mutex_);
  silent_ = silent;
  changed_.notify_all();
}

HttpResponse Store::Serve(const HttpRequest& request) {
  std::this_thread::sleep_for(kAnswerTime);
  {
    std::unique_lock lock(mutex_);
    if (silent_) {  // Nothing was done, and the connection ends when the store is back.
      changed_.wait(lock, [this] { return !silent_ || stopping_; });
      return HttpResponse{};
    }
  }
  if (request.path == "/kv-key") {
    return ReadKey(request);
  }
  if (request.path == "/kv-range") {
    return ReadRange(request);
  }
  if (request.path == "/kv-watch") {
    return Watch(request);
  }
  if (request.path == "/kv-txn") {
    return Commit(request);
  }
  if (request.path == "/kv-lease") {
    return Grant(request);
  }
  if (request.path.starts_with("/kv-keep/")) {
    return Keep(NumberAtEnd(request.path));
  }
  return request.path.starts_with("/kv-lease-end/") ? End(NumberAtEnd(request.path)) : Answer(404, Json::object());
}

HttpResponse Store::ReadKey(const HttpRequest& request) {
  const std::lock_guard lock(mutex_);
  const auto item = items_.find(Parameter(request, "Key"));
  Json body = item == items_.end() ? Json::object() : RowOf(item->first, item->second);
  body["AtRev"] = revision_;
  return Answer(item == items_.end() ? 404 : 200, body);
}

HttpResponse Store::ReadRange(const HttpRequest& request) {
  const std::string prefix = Parameter(request, "Prefix");
  const std::string after = Parameter(request, "After");
  const std::lock_guard lock(mutex_);
  Json rows = Json::array();
  size_t bytes = 0;
  bool more = false;
  for (auto item = items_.lower_bound(std::max(prefix, after)); item != items_.end(); ++item) {
    if (!item->first.starts_with(prefix)) {
      break;
    }
    if (item->first <= after) {
      continue;
    }
    more = rows.size() >= kPageItems || bytes >= kPageBytes;
    if (more) {
      break;
    }
    bytes += item->second.value.size();
    rows.push_back(RowOf(item->first, item->second));
  }
  return Answer(200, Json{{"items", rows}, {"HasMore", more}, {"AtRev", revision_}});
}

HttpResponse Store::Watch(const HttpRequest& request) {
  const std::string prefix = Parameter(request, "Prefix");
  const uint64_t after = std::strtoull(Parameter(request, "After").c_str(), nullptr, 10);
  const auto until = Clock::now() + Millis(std::atoll(Parameter(request, "WaitMs").c_str()));
  std::unique_lock lock(mutex_);
  while (true) {
    if (!events_.empty() && after + 1 < events_.front().revision && events_.size() >= kMaxEvents) {
      return Answer(410, Json::object());
    }
    Json rows = Json::array();
    const auto first =
        std::upper_bound(events_.begin(), events_.end(), after,
                         [](uint64_t revision, const Event& event) { return revision < event.revision; });
    for (auto event = first; event != events_.end(); ++event) {
      if (event->key.starts_with(prefix)) {
        rows.push_back(event->row);
      }
    }
    if (silent_) {
      changed_.wait(lock, [this] { return !silent_ || stopping_; });
      return HttpResponse{};
    }
    if (!rows.empty() || Clock::now() >= until || stopping_) {
      return Answer(200, Json{{"events", rows}, {"AtRev", revision_}});
    }
    changed_.wait_until(lock, until);
  }
}

HttpResponse Store::Commit(const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object()) {
    return Answer(400, Json::object());
  }
  const Json expected = body.value("Expect", Json::array());
  const Json writes = body.value("Writes", Json::array());
  const Json removals = body.value("Remove", Json::array());
  if (expected.size() + writes.size() + removals.size() > kMaxEntries) {
    return Answer(400, Json{{"Error", "too many entries"}});
  }
  for (const Json& write : writes) {
    const std::string key = write.at("Key");
    if (IsReserved(key)) {
      return Answer(403, Json::object());
    }
    if (key.size() > kMaxKeyBytes ||
        write.at("Value").get_ref<const std::string&>().size() / 4 * 3 > kMaxValueBytes + 2) {
      return Answer(400, Json{{"Error", "too large"}});
    }
  }
  const std::lock_guard lock(mutex_);
  Json states = Json::array();
  bool holds = true;
  for (const Json& check : expected) {
    const auto item = items_.find(check.at("Key").get<std::string>());
    holds = holds && check.at("Revision").get<uint64_t>() == (item == items_.end() ? 0 : item->second.revision);
    if (item != items_.end()) {
      states.push_back(RowOf(item->first, item->second));
    }
  }
  if (!holds) {
    return Answer(412, Json{{"items", states}, {"AtRev", revision_}});
  }
  for (const Json& write : writes) {
    const uint64_t lease = write.value("Lease", uint64_t{0});
    if (lease != 0 && !leases_.contains(lease)) {
      return Answer(404, Json::object());
    }
  }
  if (!writes.empty() || !removals.empty()) {
    ++revision_;
  }
  for (const Json& write : writes) {
    Write(write.at("Key"), write.at("Value"), write.value("Lease", uint64_t{0}));
  }
  for (const Json& key : removals) {
    if (items_.contains(key.get<std::string>())) {
      Erase(key);
    }
  }
  return Answer(200, Json{{"Revision", revision_}});
}

HttpResponse Store::Grant(const HttpRequest& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  const Millis ttl(body.is_object() ? body.value("TtlMs", int64_t{0}) : 0);
  if (ttl < kMinTtl || ttl > kMaxTtl) {
    return Answer(400, Json::object());
  }
  const std::lock_guard lock(mutex_);
  leases_[++last_lease_] = Lease{ttl, Clock::now() + ttl};
  return Answer(200, Json{{"Lease", last_lease_}, {"TtlMs", ttl.count()}});
}

HttpResponse Store::Keep(uint64_t lease) {
  const std::lock_guard lock(mutex_);
  const auto found = leases_.find(lease);
  if (found == leases_.end()) {
    return Answer(404, Json::object());
  }
  found->second.ends = Clock::now() + found->second.ttl;
  return Answer(200, Json{{"Lease", lease}, {"TtlMs", found->second.ttl.count()}});
}

HttpResponse Store::End(uint64_t lease) {
  const std::lock_guard lock(mutex_);
  if (!leases_.contains(lease)) {
    return Answer(404, Json::object());
  }
  EndLease(lease);
  return Answer(200, Json::object());
}

Store::Json Store::RowOf(const std::string& key, const Item& item) const {
  return Json{{"Key", key},
              {"Value", item.value},
              {"Revision", item.revision},
              {"Created", item.created},
              {"Lease", item.lease}};
}

void Store::Write(const std::string& key, const std::string& value, uint64_t lease) {
  Item& item = items_[key];
  item.value = value;
  item.revision = revision_;
  item.created = item.created == 0 ? revision_ : item.created;
  item.lease = lease;
  events_.push_back(Event{revision_, RowOf(key, item), key});
  if (events_.size() > kMaxEvents) {
    events_.pop_front();
  }
  changed_.notify_all();
}

void Store::Erase(const std::string& key) {
  items_.erase(key);
  events_.push_back(Event{revision_, Json{{"Key", key}, {"Revision", revision_}, {"Deleted", true}}, key});
  changed_.notify_all();
}

void Store::EndLease(uint64_t lease) {
  leases_.erase(lease);
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
    Erase(key);
  }
}

void Store::ExpireLeases() {
  if (silent_) {
    return;  // Leases pause.
  }
  const auto now = Clock::now();
  std::vector<uint64_t> ended;
  for (const auto& [id, lease] : leases_) {
    if (now >= lease.ends) {
      ended.push_back(id);
    }
  }
  for (const uint64_t id : ended) {
    EndLease(id);
  }
}

}  // namespace review
