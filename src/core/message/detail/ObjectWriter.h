#pragma once

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <type_traits>
#include <vector>

#include <json/value.h>

#include "foxtailbarrow/Id.h"
#include "foxtailbarrow/Resources.h"
#include "foxtailbarrow/Time.h"

namespace foxtailbarrow::detail {

class RowWriter;

/// Builds a JSON object from the fields of one message: the writing visitor of
/// the Fields() tables. Rules apply only to reading and are ignored.
class ObjectWriter
{
public:
  template<typename T, typename... Rule>
  void Required(const char* aName, const T& aField, const Rule&...)
  {
    mObject[Json::StaticString(aName)] = Write(aField);
  }

  /// Omits an empty field.
  template<typename T, typename... Rule>
  void Optional(const char* aName, const T& aField, const Rule&...)
  {
    if (!IsEmpty(aField)) {
      mObject[Json::StaticString(aName)] = Write(aField);
    }
  }

  template<typename T>
  static Json::Value Write(const T& aValue)
  {
    if constexpr (std::same_as<T, bool> || std::floating_point<T> ||
                  std::same_as<T, std::string>) {
      return Json::Value(aValue);
    } else if constexpr (std::signed_integral<T>) {
      return Json::Value(Json::Int64{ aValue });
    } else if constexpr (std::unsigned_integral<T>) {
      return Json::Value(Json::UInt64{ aValue });
    } else if constexpr (std::same_as<T, Duration>) {
      return Json::Value(Json::Int64{ aValue.count() });
    } else if constexpr (std::is_enum_v<T>) {
      return Json::Value(std::string(ToString(aValue)));
    } else {
      return WriteClass(aValue);
    }
  }

private:
  friend class RowWriter;

  template<typename Tag>
  static Json::Value WriteClass(const Id<Tag>& aId)
  {
    return Json::Value(aId.Value());
  }

  template<typename T>
  static Json::Value WriteClass(const std::optional<T>& aValue)
  {
    return aValue ? Write(*aValue) : Json::Value();
  }

  template<typename T>
  static Json::Value WriteClass(const std::vector<T>& aItems)
  {
    Json::Value list(Json::arrayValue);
    for (const T& item : aItems) {
      list.append(Write(item));
    }
    return list;
  }

  /// A message with a text form.
  template<typename T>
  requires requires(T& aTarget) { ParseText(std::string_view(), aTarget); }
  static Json::Value WriteClass(const T& aMessage)
  {
    return Json::Value(ToString(aMessage));
  }

  /// A message with columns.
  template<typename T>
  requires requires(RowWriter& aWriter, const T& aMessage)
  {
    Columns(aWriter, aMessage);
  }
  static Json::Value WriteClass(const T& aMessage);

  template<typename T>
  static Json::Value WriteClass(const T& aMessage)
  {
    ObjectWriter writer;
    Fields(writer, aMessage);
    return std::move(writer.mObject);
  }

  static bool IsEmpty(const std::string& aText) { return aText.empty(); }
  static bool IsEmpty(const Resources& aAmount)
  {
    return aAmount == Resources{};
  }
  template<typename T>
  static bool IsEmpty(const std::optional<T>& aValue)
  {
    return !aValue.has_value();
  }
  template<typename T>
  static bool IsEmpty(const std::vector<T>& aItems)
  {
    return aItems.empty();
  }
  /// Messages with Empty() decide themselves. Numbers and flags have no empty
  /// value: zero is a value.
  template<typename T>
  static bool IsEmpty(const T& aValue)
  {
    if constexpr (requires { aValue.Empty(); }) {
      return aValue.Empty();
    } else {
      return false;
    }
  }

  Json::Value mObject{ Json::objectValue };
};

/// Builds a row, an array of columns: the writing visitor of the Columns()
/// tables. Empty optional columns at the end are omitted.
class RowWriter
{
public:
  template<typename T, typename... Rule>
  void Required(const T& aField, const Rule&...)
  {
    mRow.append(ObjectWriter::Write(aField));
    mUsed = mRow.size();
  }

  template<typename T, typename... Rule>
  void Optional(const T& aField, const Rule&...)
  {
    mRow.append(ObjectWriter::Write(aField));
    mUsed = ObjectWriter::IsEmpty(aField) ? mUsed : mRow.size();
  }

  Json::Value Take()
  {
    mRow.resize(mUsed);
    return std::move(mRow);
  }

private:
  Json::Value mRow{ Json::arrayValue };
  Json::ArrayIndex mUsed = 0;
};

template<typename T>
requires requires(RowWriter& aWriter, const T& aMessage)
{
  Columns(aWriter, aMessage);
}
Json::Value ObjectWriter::WriteClass(const T& aMessage)
{
  RowWriter writer;
  Columns(writer, aMessage);
  return writer.Take();
}

} // namespace foxtailbarrow::detail
