#pragma once

#include <concepts>
#include <type_traits>

#include "src/core/message/Codec.h"
#include "src/core/message/detail/ObjectReader.h"
#include "src/core/message/detail/ObjectWriter.h"

namespace foxtailbarrow::detail {

/// `T` is `Message`, const for writing and non-const for reading.
template<typename T, typename Message>
concept Is = std::same_as<std::remove_const_t<T>, Message>;

} // namespace foxtailbarrow::detail

/// Definitions of the templates of Codec.h, for the files that instantiate
/// them.
namespace foxtailbarrow {

template<typename T>
Json::Value ToJson(const T& aMessage)
{
  return detail::ObjectWriter::Write(aMessage);
}

template<typename T>
T DecodeJson(const Json::Value& aValue, FieldProblems& aProblems)
{
  T message{};
  detail::ObjectReader::ReadRoot(aValue, message, aProblems);
  return message;
}

} // namespace foxtailbarrow

/// Instantiates both directions for one type.
#define FOXTAILBARROW_DEFINE_CODEC(Type)                                       \
  template Json::Value ToJson(const Type&);                                    \
  template Type DecodeJson(const Json::Value&, FieldProblems&)
