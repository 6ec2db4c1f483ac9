// The JSON records that the project keeps in the platform's store.
#ifndef HIBISCUSSTAND_SRC_CORE_RECORDS_H_
#define HIBISCUSSTAND_SRC_CORE_RECORDS_H_

#include <string>

#include <tl/expected.hpp>

#include "hibiscusstand/types.h"

namespace hibiscus {

// Why a text is no valid record, in one sentence.
using RecordError = std::string;

std::string EncodeConfiguration(const Configuration& configuration);
tl::expected<Configuration, RecordError> DecodeConfiguration(const std::string& text);

// The first rule that a configuration breaks, in one sentence; empty if none.
std::string CheckConfiguration(const Configuration& configuration);

}  // namespace hibiscus

#endif  // HIBISCUSSTAND_SRC_CORE_RECORDS_H_
