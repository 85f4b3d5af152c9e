#include "src/core/message/JsonShape.h"
#include "src/net/rpcshim/RpcShim.h"

namespace foxtailbarrow {
namespace net {
namespace rpcshim {

bool IsUnsafeToParse(const std::string& aText)
{
  const JsonShape shape =
    ShapeOfJson(aText.data(), aText.data() + aText.size());
  return shape.mDepth > kMaxNesting || shape.mValues > kMaxValues ||
         shape.mHasSlash;
}

} // namespace rpcshim
} // namespace net
} // namespace foxtailbarrow
