#pragma once

// Asio of Boost 1.74 uses std::exchange without including <utility>.
#include <utility>

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/basic_stream_socket.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

namespace foxtailbarrow::net::detail {

/// Uses io_context's own executor: the polymorphic one of
/// boost::asio::ip::tcp::socket allocates for each operation.
using TcpSocket =
  boost::asio::basic_stream_socket<boost::asio::ip::tcp,
                                   boost::asio::io_context::executor_type>;
using TcpAcceptor =
  boost::asio::basic_socket_acceptor<boost::asio::ip::tcp,
                                     boost::asio::io_context::executor_type>;
using ErrorCode = boost::system::error_code;

} // namespace foxtailbarrow::net::detail
