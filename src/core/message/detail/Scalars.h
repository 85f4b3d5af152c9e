#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <json/value.h>

#include "src/core/message/FieldProblem.h"
#include "src/core/message/detail/FieldPath.h"
#include "src/core/message/detail/FieldRules.h"

/// Reading of single JSON values. Each function returns false, appends a
/// problem and leaves the target unchanged when the value violates its rule.
namespace foxtailbarrow::detail {

/// Appends a problem about the value at `aPath`.
void AddProblem(const Json::Value& aValue,
                const FieldPath& aPath,
                std::string aAllowed,
                FieldProblems& aProblems);

/// True when the value is this text.
bool IsText(const Json::Value& aValue, std::string_view aText);

bool ReadSigned(const Json::Value& aValue,
                const FieldPath& aPath,
                NumberRule<std::int64_t> aRule,
                std::int64_t& aTarget,
                FieldProblems& aProblems);

bool ReadUnsigned(const Json::Value& aValue,
                  const FieldPath& aPath,
                  NumberRule<std::uint64_t> aRule,
                  std::uint64_t& aTarget,
                  FieldProblems& aProblems);

bool ReadDouble(const Json::Value& aValue,
                const FieldPath& aPath,
                NumberRule<double> aRule,
                double& aTarget,
                FieldProblems& aProblems);

bool ReadBool(const Json::Value& aValue,
              const FieldPath& aPath,
              bool& aTarget,
              FieldProblems& aProblems);

bool ReadText(const Json::Value& aValue,
              const FieldPath& aPath,
              TextRule aRule,
              std::string& aTarget,
              FieldProblems& aProblems);

bool ReadId(const Json::Value& aValue,
            const FieldPath& aPath,
            IdRule aRule,
            std::string& aTarget,
            FieldProblems& aProblems);

bool ReadAddress(const Json::Value& aValue,
                 const FieldPath& aPath,
                 std::string& aTarget,
                 FieldProblems& aProblems);

} // namespace foxtailbarrow::detail
