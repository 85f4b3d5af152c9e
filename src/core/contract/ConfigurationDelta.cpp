#include "src/core/contract/ConfigurationDelta.h"

#include <utility>

namespace foxtailbarrow {

void WriteDelta(ConfigurationDelta aDelta, HeartbeatReply& aReply)
{
  aReply.mConfiguration = aDelta.mNewest;
  aReply.mConfigurationFrom = aDelta.mFrom;
  aReply.mConfigurationThrough = aDelta.mThrough;
  aReply.mConfigurationAsOf = aDelta.mAsOf;
  aReply.mConfigurationDigest = aDelta.mDigest;
  aReply.mContracts = std::move(aDelta.mContracts);
  aReply.mRemoved = std::move(aDelta.mRemoved);
}

ConfigurationDelta ReadDelta(const HeartbeatReply& aReply)
{
  return {
    aReply.mConfigurationFrom,
    aReply.mConfigurationThrough,
    aReply.mConfiguration,
    aReply.mConfigurationAsOf,
    aReply.mConfigurationDigest,
    aReply.mContracts,
    aReply.mRemoved,
  };
}

} // namespace foxtailbarrow
