#ifndef BILBERRYLEAD_PERFORMANCE_ENTRY_BENCH_BENCH_UPSTREAM_HPP
#define BILBERRYLEAD_PERFORMANCE_ENTRY_BENCH_BENCH_UPSTREAM_HPP

#include "bilberrylead/http/net.hpp"

#include <boost/asio/basic_socket_acceptor.hpp>

#include <cstdint>
#include <string>
#include <thread>

namespace bilberrylead::bench
{

/// The plainest upstream there is, on a thread of its own: 100 bytes for
/// every target but /s/bundle, which gets 8 MiB.
class bench_upstream
{
public:
    /// Starts it on a free port of the loopback.
    bench_upstream();
    ~bench_upstream();
    bench_upstream(bench_upstream const&) = delete;
    bench_upstream& operator=(bench_upstream const&) = delete;

    /// Where it listens.
    std::uint16_t port() const;

private:
    http::task<void> accept();
    http::task<void> serve(http::tcp_socket socket);

    std::string brief;
    std::string bundle;
    boost::asio::io_context context{1};
    boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, http::executor>
        acceptor;
    std::thread thread;
};

} // namespace bilberrylead::bench

#endif
