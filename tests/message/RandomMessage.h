#pragma once

#include <algorithm>
#include <concepts>
#include <string>
#include <type_traits>
#include <vector>

#include <rapidcheck.h>

#include "src/core/message/detail/MessageFields.h"

/// Generates random messages through the codec's tables of fields, so that new
/// fields are covered automatically.
namespace foxtailbarrow::detail {

class RandomFields
{
public:
  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Required(const char*,
                T& aField,
                const Rule& aRule = DefaultRule<T>::kValue)
  {
    ++mCount;
    Draw(aField, aRule);
  }

  template<typename T, typename Rule = decltype(DefaultRule<T>::kValue)>
  void Optional(const char* aName,
                T& aField,
                const Rule& aRule = DefaultRule<T>::kValue)
  {
    Required(aName, aField, aRule);
  }

  std::size_t Count() const { return mCount; }

private:
  template<std::integral T>
  void Draw(T& aField, NumberRule<T> aRule)
  {
    aField = *rc::gen::oneOf(rc::gen::element(aRule.mMin, aRule.mMax),
                             rc::gen::inRange<T>(aRule.mMin, aRule.mMax));
  }

  void Draw(double& aField, NumberRule<double> aRule)
  {
    const auto part = *rc::gen::inRange<std::int64_t>(0, 1'000'000'007);
    aField = aRule.mMin + (aRule.mMax - aRule.mMin) *
                            (static_cast<double>(part) / 1'000'000'007.0);
  }

  void Draw(Duration& aField, NumberRule<Duration::rep> aRule)
  {
    Duration::rep count = 0;
    Draw(count, aRule);
    aField = Duration(count);
  }

  void Draw(bool& aField, NoRule) { aField = *rc::gen::arbitrary<bool>(); }

  void Draw(std::string& aField, TextRule)
  {
    aField = *rc::gen::element<std::string>(
      "", "x", "\"\\\n\t", "zażółć \u0416", std::string("a\0b", 3));
  }

  void Draw(std::string& aField, AddressRule)
  {
    aField = *rc::gen::element<std::string>("127.0.0.1", "10.255.0.7");
  }

  template<typename Tag>
  void Draw(Id<Tag>& aField, IdRule aRule)
  {
    std::string text = *rc::gen::nonEmpty(rc::gen::container<std::string>(
      rc::gen::elementOf(std::string("abz09-"))));
    text.resize(std::min(text.size(), aRule.mMaxBytes));
    aField = Id<Tag>(std::move(text));
  }

  template<typename T>
  requires(std::is_enum_v<T>) void Draw(T& aField, NoRule)
  {
    aField = static_cast<T>(*rc::gen::inRange(0, 2));
  }

  template<typename T>
  void Draw(std::optional<T>& aField, NoRule)
  {
    if (*rc::gen::arbitrary<bool>()) {
      Draw(aField.emplace(), DefaultRule<T>::kValue);
    }
  }

  template<typename T>
  void Draw(std::vector<T>& aField, NoRule)
  {
    aField.resize(*rc::gen::inRange<std::size_t>(0, 4));
    for (T& item : aField) {
      Draw(item, DefaultRule<T>::kValue);
    }
  }

  template<typename T>
  requires(std::is_class_v<T>) void Draw(T& aField, NoRule)
  {
    RandomFields nested;
    Fields(nested, aField);
  }

  std::size_t mCount = 0;
};

} // namespace foxtailbarrow::detail
