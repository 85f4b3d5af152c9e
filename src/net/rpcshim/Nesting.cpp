#include "src/net/rpcshim/RpcShim.h"

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

bool IsUnsafeToParse(const std::string& aText)
{
  int depth = 0;
  bool quoted = false;
  bool escaped = false;
  for (const char character : aText) {
    if (quoted) {
      quoted = escaped || character != '"';
      escaped = !escaped && character == '\\';
      continue;
    }
    switch (character) {
      case '"':
        quoted = true;
        break;
      case '[':
      case '{':
        ++depth;
        break;
      case ']':
      case '}':
        --depth;
        break;
      case '/':
        return true;
      default:
        break;
    }
    if (depth > kMaxNesting) {
      return true;
    }
  }
  return false;
}

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
