#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "foxtailbarrow/Endpoint.h"

namespace foxtailbarrow::clients {

/// Peer that answers each connection's first bytes with an answer that does not
/// end: the head once, then the filler repeatedly up to a total size.
class EndlessServer
{
public:
  EndlessServer(const Endpoint& aEndpoint,
                std::string aHead,
                std::string aFiller,
                std::size_t aTotalBytes);
  ~EndlessServer();

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  /// Answers that were begun.
  int Answers() const { return mAnswers.load(); }

private:
  void Run();
  void Answer(int aSocket);

  std::string mHead;
  std::string mBlock;
  std::size_t mLeft;
  std::atomic<int> mAnswers{ 0 };
  std::atomic<bool> mStopping{ false };
  int mListener;
  std::thread mThread;
};

} // namespace foxtailbarrow::clients
