#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include "absl/container/inlined_vector.h"
#include <json/value.h>

#include "src/core/message/detail/Scalars.h"

namespace foxtailbarrow::detail {

/// Most messages have no more fields, so that their names need no allocation.
inline constexpr std::size_t kTypicalFields = 16;

class RowReader;

/// A message that is written as one string, by its ToString() and ParseText().
template<typename T>
concept HasTextForm = requires(const T& aMessage, T& aTarget)
{
  {
    ParseText(std::string_view(), aTarget)
    } -> std::same_as<bool>;
};

/// A message that is written as a row, an array of its columns without field
/// names: for lists that are long and sent often.
template<typename T>
concept HasColumns = requires(RowReader& aReader, T& aTarget)
{
  Columns(aReader, aTarget);
};

/// Fills the fields of one message from a JSON object: the reading visitor of
/// the Fields() tables. Collects problems instead of stopping at the first.
class ObjectReader
{
public:
  ObjectReader(const Json::Value& aObject,
               const FieldPath& aPath,
               FieldProblems& aProblems)
    : mObject(aObject)
    , mPath(aPath)
    , mProblems(aProblems)
  {
  }

  /// Reads the field, or reports that it is missing.
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Required(const char* aName,
                T& aField,
                const Rule& aRule = DefaultRule<T>::kValue)
  {
    if (const Json::Value* value = Find(aName)) {
      Read(*value, FieldPath(mPath, aName), aField, aRule);
      return;
    }
    mProblems.push_back(
      { FieldPath(mPath, aName).Text(), "nothing", "a value, required" });
  }

  /// Reads the field if it is present, else leaves the default.
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Optional(const char* aName,
                T& aField,
                const Rule& aRule = DefaultRule<T>::kValue)
  {
    if (const Json::Value* value = Find(aName)) {
      Read(*value, FieldPath(mPath, aName), aField, aRule);
    }
  }

  /// Call after the last field: reports every field that was not requested.
  void Finish();

  /// Reads a whole value; entry point for the root of a document.
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  static void ReadRoot(const Json::Value& aValue,
                       T& aTarget,
                       FieldProblems& aProblems)
  {
    const FieldPath root;
    ObjectReader reader(aValue, root, aProblems);
    reader.Read(aValue, root, aTarget, NoRule{});
  }

private:
  friend class RowReader;

  /// Null when the object has no such field.
  const Json::Value* Find(std::string_view aName);

  template<typename T>
  requires(std::signed_integral<T>) void Read(const Json::Value& aValue,
                                              const FieldPath& aPath,
                                              T& aTarget,
                                              NumberRule<T> aRule)
  {
    if (std::int64_t number = 0; ReadSigned(
          aValue, aPath, { aRule.mMin, aRule.mMax }, number, mProblems)) {
      aTarget = static_cast<T>(number);
    }
  }

  template<typename T>
  requires(std::unsigned_integral<T>) void Read(const Json::Value& aValue,
                                                const FieldPath& aPath,
                                                T& aTarget,
                                                NumberRule<T> aRule)
  {
    if (std::uint64_t number = 0; ReadUnsigned(
          aValue, aPath, { aRule.mMin, aRule.mMax }, number, mProblems)) {
      aTarget = static_cast<T>(number);
    }
  }

  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            double& aTarget,
            NumberRule<double> aRule)
  {
    ReadDouble(aValue, aPath, aRule, aTarget, mProblems);
  }

  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            Duration& aTarget,
            NumberRule<Duration::rep> aRule)
  {
    if (std::int64_t count = 0; ReadSigned(
          aValue, aPath, { aRule.mMin, aRule.mMax }, count, mProblems)) {
      aTarget = Duration(count);
    }
  }

  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            bool& aTarget,
            NoRule)
  {
    ReadBool(aValue, aPath, aTarget, mProblems);
  }

  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            std::string& aTarget,
            TextRule aRule)
  {
    ReadText(aValue, aPath, aRule, aTarget, mProblems);
  }

  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            std::string& aTarget,
            AddressRule)
  {
    ReadAddress(aValue, aPath, aTarget, mProblems);
  }

  template<typename Tag>
  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            Id<Tag>& aTarget,
            IdRule aRule)
  {
    if (std::string text; ReadId(aValue, aPath, aRule, text, mProblems)) {
      aTarget = Id<Tag>(std::move(text));
    }
  }

  /// Enums by the texts of their ToString(), which returns "unknown" after the
  /// last value.
  template<typename T>
  requires(std::is_enum_v<T>) void Read(const Json::Value& aValue,
                                        const FieldPath& aPath,
                                        T& aTarget,
                                        NoRule)
  {
    constexpr std::string_view kAfterLast = "unknown";
    std::string_view text;
    for (std::underlying_type_t<T> i = 0;
         (text = ToString(static_cast<T>(i))) != kAfterLast;
         ++i) {
      if (IsText(aValue, text)) {
        aTarget = static_cast<T>(i);
        return;
      }
    }
    std::string allowed = "one of";
    for (std::underlying_type_t<T> i = 0;
         (text = ToString(static_cast<T>(i))) != kAfterLast;
         ++i) {
      allowed += " " + std::string(text);
    }
    AddProblem(aValue, aPath, std::move(allowed), mProblems);
  }

  template<typename T>
  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            std::optional<T>& aTarget,
            NoRule)
  {
    T item{};
    Read(aValue, aPath, item, DefaultRule<T>::kValue);
    aTarget = std::move(item);
  }

  template<typename T>
  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            std::vector<T>& aTarget,
            NoRule)
  {
    if (!aValue.isArray() || aValue.size() > kMaxListItems) {
      AddProblem(aValue,
                 aPath,
                 "a list of at most " + std::to_string(kMaxListItems) +
                   " items",
                 mProblems);
      return;
    }
    aTarget.resize(aValue.size());
    for (Json::ArrayIndex i = 0; i < aValue.size(); ++i) {
      Read(aValue[i],
           FieldPath(aPath, std::size_t{ i }),
           aTarget[i],
           DefaultRule<T>::kValue);
    }
  }

  template<HasTextForm T>
  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            T& aTarget,
            NoRule)
  {
    std::string text;
    if (ReadText(aValue, aPath, TextRule{}, text, mProblems) &&
        !ParseText(text, aTarget)) {
      AddProblem(aValue, aPath, "a text of its form", mProblems);
    }
  }

  template<HasColumns T>
  void Read(const Json::Value& aValue,
            const FieldPath& aPath,
            T& aTarget,
            NoRule);

  /// A message with a Fields() table.
  template<typename T>
  requires(std::is_class_v<T> && !HasTextForm<T> &&
           !HasColumns<T>) void Read(const Json::Value& aValue,
                                     const FieldPath& aPath,
                                     T& aTarget,
                                     NoRule)
  {
    if (!aValue.isObject()) {
      AddProblem(aValue, aPath, "an object", mProblems);
      return;
    }
    ObjectReader reader(aValue, aPath, mProblems);
    Fields(reader, aTarget);
    reader.Finish();
  }

  const Json::Value& mObject;
  const FieldPath& mPath;
  FieldProblems& mProblems;
  absl::InlinedVector<std::string_view, kTypicalFields> mRequested;
  std::size_t mPresent = 0;
};

/// Fills a message from the columns of a row: the reading visitor of the
/// Columns() tables.
class RowReader
{
public:
  RowReader(const Json::Value& aRow,
            const FieldPath& aPath,
            FieldProblems& aProblems)
    : mRow(aRow)
    , mPath(aPath)
    , mValues(aRow, aPath, aProblems)
  {
  }

  /// Reads the next column, or reports that it is missing.
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Required(T& aField, const Rule& aRule = DefaultRule<T>::kValue)
  {
    if (mNext >= mRow.size()) {
      mValues.mProblems.push_back(
        { FieldPath(mPath, std::size_t{ mNext }).Text(),
          "nothing",
          "a value, required" });
    }
    Optional(aField, aRule);
  }

  /// Reads the next column if the row has it.
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Optional(T& aField, const Rule& aRule = DefaultRule<T>::kValue)
  {
    if (mNext < mRow.size()) {
      mValues.Read(
        mRow[mNext], FieldPath(mPath, std::size_t{ mNext }), aField, aRule);
    }
    ++mNext;
  }

  /// True when the row has no more columns than were requested.
  bool AtEnd() const { return mNext >= mRow.size(); }

private:
  const Json::Value& mRow;
  const FieldPath& mPath;
  ObjectReader mValues;
  Json::ArrayIndex mNext = 0;
};

template<HasColumns T>
void ObjectReader::Read(const Json::Value& aValue,
                        const FieldPath& aPath,
                        T& aTarget,
                        NoRule)
{
  if (!aValue.isArray()) {
    AddProblem(aValue, aPath, "a row: an array of columns", mProblems);
    return;
  }
  RowReader reader(aValue, aPath, mProblems);
  Columns(reader, aTarget);
  if (!reader.AtEnd()) {
    AddProblem(aValue, aPath, "a row without further columns", mProblems);
  }
}

} // namespace foxtailbarrow::detail
