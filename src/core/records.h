// JSON records stored in the platform's store.
#ifndef HIBISCUSSTAND_SRC_CORE_RECORDS_H_
#define HIBISCUSSTAND_SRC_CORE_RECORDS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "hibiscusstand/types.h"

namespace hibiscus {

// Describes why a text is not a valid record, in one sentence.
using RecordError = std::string;

std::string EncodeConfiguration(const Configuration& configuration);
tl::expected<Configuration, RecordError> DecodeConfiguration(const std::string& text);

// One past change of the configuration, as listed in the latest record.
struct ConfigChange {
  uint64_t version = 0;
  std::string change_id;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// The configuration in effect, and the ids of the most recent changes including the one that produced it.
struct ConfigRecord {
  Configuration configuration;
  std::vector<ConfigChange> changes;  // Oldest first.

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

std::string EncodeConfigRecord(const ConfigRecord& record);
tl::expected<ConfigRecord, RecordError> DecodeConfigRecord(const std::string& text);

// Validates a configuration. Returns the first violation found as a sentence, or an empty string.
std::string CheckConfiguration(const Configuration& configuration);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_RECORDS_H_
