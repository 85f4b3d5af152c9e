#include "src/core/message/detail/Scalars.h"

#include <algorithm>
#include <cmath>
#include <string_view>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"

#include "foxtailbarrow/Endpoint.h"
#include "src/core/message/Json.h"
#include "src/core/message/NameId.h"

namespace foxtailbarrow::detail {

namespace {

constexpr std::size_t kMaxDescribedBytes = 60;

std::string Describe(const Json::Value& aValue)
{
  if (aValue.isObject()) {
    return "an object";
  }
  if (aValue.isArray()) {
    return "a list";
  }
  if (aValue.isDouble() && !std::isfinite(aValue.asDouble())) {
    return "a number that is not finite";
  }
  std::string text = FormatJson(aValue);
  if (text.size() > kMaxDescribedBytes) {
    const std::string length = std::to_string(text.size());
    text.resize(kMaxDescribedBytes);
    text += "... (" + length + " bytes)";
  }
  return text;
}

/// Integral as written: unlike Json::Value::isInt64(), refuses 1.0.
bool IsInteger(const Json::Value& aValue)
{
  return aValue.type() == Json::intValue || aValue.type() == Json::uintValue;
}

template<typename T>
std::string RangeText(const char* aKind, NumberRule<T> aRule)
{
  return absl::StrCat(aKind, " ", aRule.mMin, "..", aRule.mMax);
}

bool IsIdCharacter(char aCharacter, bool aPlain)
{
  if (absl::ascii_islower(aCharacter) || absl::ascii_isdigit(aCharacter) ||
      aCharacter == '-') {
    return true;
  }
  constexpr std::string_view kOthers = "._:";
  return !aPlain && (absl::ascii_isupper(aCharacter) ||
                     kOthers.find(aCharacter) != std::string_view::npos);
}

std::string IdText(IdRule aRule)
{
  return absl::StrCat("1..",
                      aRule.mMaxBytes,
                      " characters of ",
                      aRule.mPlain ? "[a-z0-9-]" : "[A-Za-z0-9._:-]");
}

bool IsId(std::string_view aText, IdRule aRule)
{
  return !aText.empty() && aText.size() <= aRule.mMaxBytes &&
         std::all_of(aText.begin(), aText.end(), [&](char aCharacter) {
           return IsIdCharacter(aCharacter, aRule.mPlain);
         });
}

} // namespace

void AddProblem(const Json::Value& aValue,
                const FieldPath& aPath,
                std::string aAllowed,
                FieldProblems& aProblems)
{
  aProblems.push_back({ aPath.Text(), Describe(aValue), std::move(aAllowed) });
}

bool IsText(const Json::Value& aValue, std::string_view aText)
{
  const char* begin = nullptr;
  const char* end = nullptr;
  return aValue.isString() && aValue.getString(&begin, &end) &&
         std::string_view(begin, static_cast<std::size_t>(end - begin)) ==
           aText;
}

bool ReadSigned(const Json::Value& aValue,
                const FieldPath& aPath,
                NumberRule<std::int64_t> aRule,
                std::int64_t& aTarget,
                FieldProblems& aProblems)
{
  if (IsInteger(aValue) && aValue.isInt64()) {
    const std::int64_t number = aValue.asInt64();
    if (number >= aRule.mMin && number <= aRule.mMax) {
      aTarget = number;
      return true;
    }
  }
  AddProblem(aValue, aPath, RangeText("integer", aRule), aProblems);
  return false;
}

bool ReadUnsigned(const Json::Value& aValue,
                  const FieldPath& aPath,
                  NumberRule<std::uint64_t> aRule,
                  std::uint64_t& aTarget,
                  FieldProblems& aProblems)
{
  if (IsInteger(aValue) && aValue.isUInt64()) {
    const std::uint64_t number = aValue.asUInt64();
    if (number >= aRule.mMin && number <= aRule.mMax) {
      aTarget = number;
      return true;
    }
  }
  AddProblem(aValue, aPath, RangeText("integer", aRule), aProblems);
  return false;
}

bool ReadDouble(const Json::Value& aValue,
                const FieldPath& aPath,
                NumberRule<double> aRule,
                double& aTarget,
                FieldProblems& aProblems)
{
  if (aValue.type() == Json::realValue || IsInteger(aValue)) {
    // Comparisons with NaN are false, so NaN is refused here as well.
    const double number = aValue.asDouble();
    if (number >= aRule.mMin && number <= aRule.mMax) {
      aTarget = number;
      return true;
    }
  }
  AddProblem(aValue, aPath, RangeText("number", aRule), aProblems);
  return false;
}

bool ReadBool(const Json::Value& aValue,
              const FieldPath& aPath,
              bool& aTarget,
              FieldProblems& aProblems)
{
  if (aValue.isBool()) {
    aTarget = aValue.asBool();
    return true;
  }
  AddProblem(aValue, aPath, "true or false", aProblems);
  return false;
}

bool ReadText(const Json::Value& aValue,
              const FieldPath& aPath,
              TextRule aRule,
              std::string& aTarget,
              FieldProblems& aProblems)
{
  if (aValue.isString()) {
    if (std::string text = aValue.asString();
        text.size() <= aRule.mMaxBytes && IsUtf8(text)) {
      aTarget = std::move(text);
      return true;
    }
  }
  AddProblem(aValue,
             aPath,
             absl::StrCat("UTF-8 text of at most ", aRule.mMaxBytes, " bytes"),
             aProblems);
  return false;
}

bool ReadId(const Json::Value& aValue,
            const FieldPath& aPath,
            IdRule aRule,
            std::string& aTarget,
            FieldProblems& aProblems)
{
  if (aValue.isString()) {
    if (std::string text = aValue.asString(); IsId(text, aRule)) {
      aTarget = std::move(text);
      return true;
    } else if (aRule.mFromName && !text.empty()) {
      aTarget = IdFromName(text);
      return true;
    }
  }
  AddProblem(aValue, aPath, IdText(aRule), aProblems);
  return false;
}

bool ReadAddress(const Json::Value& aValue,
                 const FieldPath& aPath,
                 std::string& aTarget,
                 FieldProblems& aProblems)
{
  if (aValue.isString()) {
    if (std::string text = aValue.asString(); ParseEndpoint(text + ":1")) {
      aTarget = std::move(text);
      return true;
    }
  }
  AddProblem(aValue, aPath, "an IPv4 address such as 10.0.0.1", aProblems);
  return false;
}

} // namespace foxtailbarrow::detail
