#pragma once

#include <string>

#include "foxtailbarrow/Endpoint.h"

namespace foxtailbarrow::clients {

/// An ordinary request.
struct OneRequest
{
  std::string mMethod = "GET";
  std::string mTarget = "/nothing";
  std::string mBody;
};

/// Sends the request on a connection of its own and returns the status of the
/// complete answer, or 0 if there was none.
unsigned Ask(const Endpoint& aPeer, const OneRequest& aRequest);

/// Repeats the request until the answer has the status, for a generous time.
bool IsAnswered(const Endpoint& aPeer,
                const OneRequest& aRequest,
                unsigned aStatus);

} // namespace foxtailbarrow::clients
