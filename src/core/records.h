// The JSON records that the project keeps in the platform's store.
#ifndef HIBISCUSSTAND_SRC_CORE_RECORDS_H_
#define HIBISCUSSTAND_SRC_CORE_RECORDS_H_

#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "hibiscusstand/types.h"

namespace hibiscus {

// Why a text is no valid record, in one sentence.
using RecordError = std::string;

std::string EncodeConfiguration(const Configuration& configuration);
tl::expected<Configuration, RecordError> DecodeConfiguration(const std::string& text);

// One change of the configuration, as the latest record remembers it.
struct ConfigChange {
  uint64_t version = 0;
  std::string change_id;

  friend bool operator==(const ConfigChange&, const ConfigChange&) = default;
};

// The configuration's record: what is in force, and the ids of the latest changes, itself among them.
struct ConfigRecord {
  Configuration configuration;
  std::vector<ConfigChange> changes;  // The latest last.

  friend bool operator==(const ConfigRecord&, const ConfigRecord&) = default;
};

std::string EncodeConfigRecord(const ConfigRecord& record);
tl::expected<ConfigRecord, RecordError> DecodeConfigRecord(const std::string& text);

// The first rule that a configuration breaks, in one sentence; empty if none.
std::string CheckConfiguration(const Configuration& configuration);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_RECORDS_H_
