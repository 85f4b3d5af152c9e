#pragma once

#include <string_view>

#include "absl/status/statusor.h"
#include <json/value.h>

#include "src/core/message/FieldProblem.h"
#include "src/core/message/Json.h"

/// JSON form of every message, record and document of the system.
///
/// One table of fields for each type (detail/*Fields.h) is used for reading and
/// writing. Field names are those of the struct without the `m` and with a
/// lowercase first letter; a Duration is an integer of microseconds whose name
/// ends in "Us". Empty strings and lists and absent optionals are left out, as
/// are zero Resources. Enums are written as their ToString() texts, 64-bit
/// numbers as JSON integers.
///
/// Reading is strict: a wrong type, an unknown or missing field, a number out
/// of range or not finite, a text that is too long or not UTF-8, or a list that
/// is too long is an error that names the field, what was found and what is
/// allowed. All problems of a value are reported together.
///
/// Defined for: Endpoint, Resources, Contract (with its revision),
/// JobSpec, JobRecord, TaskKey, TaskStart, TaskStatus, UsageSample, WorkerView,
/// LoadReport, TaskReport, ShardLease and the requests and replies of
/// Messages.h.
namespace foxtailbarrow {

template<typename T>
Json::Value ToJson(const T& aMessage);

/// Reads the valid fields and appends the problems of the others to
/// `aProblems`.
template<typename T>
T DecodeJson(const Json::Value& aValue, FieldProblems& aProblems);

/// As DecodeJson(), with the problems as InvalidArgument. See ToStatus() for
/// why no Verdict is attached.
template<typename T>
absl::StatusOr<T> FromJson(const Json::Value& aValue)
{
  FieldProblems problems;
  T message = DecodeJson<T>(aValue, problems);
  if (!problems.empty()) {
    return ToStatus(problems);
  }
  return message;
}

/// FromJson() of ParseJson().
template<typename T>
absl::StatusOr<T> FromJsonText(std::string_view aText, JsonLimits aLimits = {})
{
  const absl::StatusOr<Json::Value> value = ParseJson(aText, aLimits);
  if (!value.ok()) {
    return value.status();
  }
  return FromJson<T>(*value);
}

/// FormatJson() of ToJson().
template<typename T>
std::string ToJsonText(const T& aMessage)
{
  return FormatJson(ToJson(aMessage));
}

} // namespace foxtailbarrow
