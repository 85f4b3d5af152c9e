#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <boost/beast/http/basic_parser.hpp>

#include "src/net/HttpMessage.h"
#include "src/net/detail/Asio.h"

namespace foxtailbarrow::net::detail {

namespace http = boost::beast::http;

/// Beast parser that fills an HttpRequest or HttpResponse directly, without
/// Beast's header container. Drops hop-by-hop headers.
template<bool IsRequest, typename Message>
class MessageParser : public http::basic_parser<IsRequest>
{
public:
  MessageParser(Message& aMessage,
                std::size_t aMaxHeaderBytes,
                std::size_t aMaxBodyBytes)
    : mMessage(aMessage)
  {
    this->header_limit(static_cast<std::uint32_t>(aMaxHeaderBytes));
    this->body_limit(static_cast<std::uint64_t>(aMaxBodyBytes));
    this->eager(true);
  }

  /// The client waits for "100 Continue" before it sends the body.
  bool ExpectsContinue() const { return mExpectsContinue; }

  /// Received so far.
  std::size_t BodyBytes() const { return mBodyBytes; }

  bool HasHost() const { return mHasHost; }
  bool IsHttp11() const { return mVersion == kHttp11; }

protected:
  static constexpr int kHttp11 = 11;

  // NOLINTBEGIN(readability-identifier-naming): names required by Beast.
  void on_request_impl(http::verb,
                       boost::beast::string_view aMethod,
                       boost::beast::string_view aTarget,
                       int aVersion,
                       ErrorCode&) override
  {
    mVersion = aVersion;
    if constexpr (IsRequest) {
      mMessage.mMethod.assign(aMethod.data(), aMethod.size());
      mMessage.mTarget.assign(aTarget.data(), aTarget.size());
    }
  }

  void on_response_impl(int aCode,
                        boost::beast::string_view,
                        int aVersion,
                        ErrorCode&) override
  {
    mVersion = aVersion;
    if constexpr (!IsRequest) {
      mMessage.mStatus = static_cast<unsigned>(aCode);
    }
  }

  void on_field_impl(http::field aField,
                     boost::beast::string_view aName,
                     boost::beast::string_view aValue,
                     ErrorCode& aError) override
  {
    switch (aField) {
      case http::field::host:
        if (mHasHost) {
          aError = http::error::bad_field;
        }
        mHasHost = true;
        if constexpr (IsRequest) {
          mMessage.mHost.assign(aValue.data(), aValue.size());
        }
        return;
      case http::field::expect:
        mExpectsContinue = true;
        return;
      case http::field::connection:
      case http::field::keep_alive:
      case http::field::content_length:
      case http::field::transfer_encoding:
        return;
      default:
        mMessage.mHeaders.Append({ aName.data(), aName.size() },
                                 { aValue.data(), aValue.size() });
    }
  }

  void on_header_impl(ErrorCode&) override {}

  void on_body_init_impl(const boost::optional<std::uint64_t>& aLength,
                         ErrorCode&) override
  {
    // The announced length is untrusted: limit the reservation.
    if (aLength) {
      mMessage.mBody.reserve(std::min<std::uint64_t>(*aLength, kMaxReserve));
    }
  }

  std::size_t on_body_impl(boost::beast::string_view aBody, ErrorCode&) override
  {
    return TakeBody(aBody);
  }

  void on_chunk_header_impl(std::uint64_t,
                            boost::beast::string_view,
                            ErrorCode&) override
  {
  }

  std::size_t on_chunk_body_impl(std::uint64_t,
                                 boost::beast::string_view aBody,
                                 ErrorCode&) override
  {
    return TakeBody(aBody);
  }

  void on_finish_impl(ErrorCode&) override {}
  // NOLINTEND(readability-identifier-naming)

private:
  static constexpr std::uint64_t kMaxReserve = 64UL * 1024;

  std::size_t TakeBody(boost::beast::string_view aBody)
  {
    mMessage.mBody.append(aBody.data(), aBody.size());
    mBodyBytes += aBody.size();
    return aBody.size();
  }

  Message& mMessage;
  std::size_t mBodyBytes = 0;
  int mVersion = 0;
  bool mHasHost = false;
  bool mExpectsContinue = false;
};

using RequestParser = MessageParser<true, HttpRequest>;
using ResponseParser = MessageParser<false, HttpResponse>;

} // namespace foxtailbarrow::net::detail
