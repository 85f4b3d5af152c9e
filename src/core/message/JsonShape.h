#pragma once

#include <algorithm>
#include <cstddef>

// Compiled as C++14 by the bridge to libjsonrpccpp and as C++20 elsewhere.

namespace foxtailbarrow {

/// Properties of a JSON text that determine what parsing it costs. Each value
/// takes over a hundred bytes, however short its text is.
struct JsonShape
{
  std::size_t mValues = 1; ///< Members, elements, and the text as a whole.
  int mDepth = 0;          ///< Nested arrays and objects.
  bool mHasSlash = false;  ///< Outside strings, where it begins a comment.
};

/// The shape of the text from `aBegin` to `aEnd`, which need not be valid.
inline JsonShape ShapeOfJson(const char* aBegin, const char* aEnd)
{
  JsonShape shape;
  int depth = 0;
  bool quoted = false;
  bool escaped = false;
  for (const char* at = aBegin; at != aEnd; ++at) {
    if (quoted) {
      quoted = escaped || *at != '"';
      escaped = !escaped && *at == '\\';
      continue;
    }
    switch (*at) {
      case '"':
        quoted = true;
        break;
      case '[':
      case '{':
        ++shape.mValues;
        shape.mDepth = std::max(shape.mDepth, ++depth);
        break;
      case ']':
      case '}':
        --depth;
        break;
      case ',':
        ++shape.mValues;
        break;
      case '/':
        shape.mHasSlash = true;
        break;
      default:
        break;
    }
  }
  return shape;
}

} // namespace foxtailbarrow
