#include "cell/ports.h"

namespace hibiscus::cell {

const char* NameOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kOk:
      return "ok";
    case StoreStatus::kConflict:
      return "conflict";
    case StoreStatus::kNoLease:
      return "no_lease";
    case StoreStatus::kNotFound:
      return "not_found";
    case StoreStatus::kHistoryLost:
      return "history_lost";
    case StoreStatus::kNotDone:
      return "not_done";
    case StoreStatus::kUnknown:
      return "unknown";
  }
  return "?";
}

const char* NameOf(OrderStatus status) {
  switch (status) {
    case OrderStatus::kOk:
      return "ok";
    case OrderStatus::kFenced:
      return "fenced";
    case OrderStatus::kStale:
      return "stale";
    case OrderStatus::kLate:
      return "late";
    case OrderStatus::kNoRoom:
      return "no_room";
    case OrderStatus::kNoTicket:
      return "no_ticket";
    case OrderStatus::kMalformed:
      return "malformed";
    case OrderStatus::kUnhealthy:
      return "unhealthy";
    case OrderStatus::kOtherInstance:
      return "other_life";
    case OrderStatus::kNotSent:
      return "not_sent";
    case OrderStatus::kUnknown:
      return "unknown";
  }
  return "?";
}

bool IsDefinitelyNotExecuted(OrderStatus status) {
  return status != OrderStatus::kOk && status != OrderStatus::kUnknown;
}

}  // namespace hibiscus::cell
