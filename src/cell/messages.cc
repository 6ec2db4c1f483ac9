#include "cell/messages.h"

#include <nlohmann/json.hpp>

#include "cell/record_json.h"

namespace hibiscus::cell {

namespace {

using Json = nlohmann::json;

template <size_t... Index>
Message DecodeAlternative(size_t kind, const Json& fields, std::index_sequence<Index...>) {
  Message message;
  const auto decode_if_match = [&]<size_t Candidate>() {
    if (kind == Candidate) {
      std::variant_alternative_t<Candidate, Message> value;
      FromJson(fields, value);
      message = std::move(value);
    }
  };
  (decode_if_match.template operator()<Index>(), ...);
  return message;
}

}  // namespace

const char* NameOf(CallerKind kind) {
  switch (kind) {
    case CallerKind::kSubmit:
      return "submit";
    case CallerKind::kState:
      return "state";
    case CallerKind::kCancel:
      return "cancel";
    case CallerKind::kPending:
      return "pending";
  }
  return "unnamed";
}

const char* NameOf(CallerOutcome outcome) {
  switch (outcome) {
    case CallerOutcome::kDone:
      return "done";
    case CallerOutcome::kNoSuchJob:
      return "no_such_job";
    case CallerOutcome::kRejected:
      return "rejected";
    case CallerOutcome::kUnavailable:
      return "unavailable";
    case CallerOutcome::kOutcomeUnknown:
      return "outcome_unknown";
    case CallerOutcome::kNotOwner:
      return "not_owner";
    case CallerOutcome::kUnauthorized:
      return "unauthorized";
    case CallerOutcome::kInvalidJob:
      return "invalid_job";
  }
  return "unnamed";
}

bool IsRefusal(CallerOutcome outcome) {
  return outcome == CallerOutcome::kRejected || outcome == CallerOutcome::kUnavailable ||
         outcome == CallerOutcome::kUnauthorized || outcome == CallerOutcome::kInvalidJob;
}

std::string EncodeMessage(const Message& message) {
  Json fields = std::visit([](const auto& value) { return ToJson(value); }, message);
  std::string bytes;
  Json::to_msgpack(Json::array({message.index(), std::move(fields)}), bytes);
  return bytes;
}

tl::expected<Message, std::string> DecodeMessage(const std::string& bytes) {
  try {
    const Json json = Json::from_msgpack(bytes);
    const auto kind = json.at(0).get<size_t>();
    if (kind >= std::variant_size_v<Message>) {
      return tl::unexpected("message kind " + std::to_string(kind) + " is unknown");
    }
    return DecodeAlternative(kind, json.at(1), std::make_index_sequence<std::variant_size_v<Message>>());
  } catch (const std::exception& error) {
    return tl::unexpected(std::string(error.what()));
  }
}

}  // namespace hibiscus::cell
