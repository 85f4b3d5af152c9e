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

/// Builds a JSON object from the fields of one message: the writing visitor of
/// the Fields() tables. Rules are the reader's business and ignored here.
class ObjectWriter
{
public:
  template<typename T, typename... Rule>
  void Required(const char* aName, const T& aField, const Rule&...)
  {
    mObject[Json::StaticString(aName)] = Write(aField);
  }

  /// Leaves out what is empty.
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
  template<typename Tag>
  static bool IsEmpty(const Id<Tag>& aId)
  {
    return aId.Empty();
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
  /// Numbers and flags have no empty value: zero is a value.
  template<typename T>
  static bool IsEmpty(const T&)
  {
    return false;
  }

  Json::Value mObject{ Json::objectValue };
};

} // namespace foxtailbarrow::detail
