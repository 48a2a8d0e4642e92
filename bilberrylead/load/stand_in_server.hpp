#ifndef BILBERRYLEAD_LOAD_STAND_IN_SERVER_HPP
#define BILBERRYLEAD_LOAD_STAND_IN_SERVER_HPP

#include "bilberrylead/config/endpoint.hpp"
#include "bilberrylead/load/stand_in_behaviour.hpp"

#include <absl/status/status.h>

#include <cstdint>
#include <memory>
#include <vector>

namespace bilberrylead::load
{

/// One upstream that the server stands for.
struct stand_in_place
{
    /// Where it listens; port 0 takes a free one.
    config::endpoint address;
    /// How it starts out.
    stand_in_behaviour behaviour;
};

/// Stands for many upstreams in one process and one thread. Takes HTTP/1.1;
/// see docs/LOAD.md for its paths and headers.
class stand_in_server
{
public:
    /// Makes a server; each upstream's lots follow from the seed and its
    /// position.
    stand_in_server(std::vector<stand_in_place> const& places,
                    std::uint64_t seed);
    ~stand_in_server();
    stand_in_server(stand_in_server const&) = delete;
    stand_in_server& operator=(stand_in_server const&) = delete;

    /// Opens every port, and the admin port (0 takes a free one) that
    /// speaks for all of them. Call once, before run.
    absl::Status listen(config::endpoint const& admin);

    /// Ports in the order of the places, after listen.
    std::vector<std::uint16_t> ports() const;

    /// The admin port, after listen.
    std::uint16_t admin_port() const;

    /// Serves until `stop` or until SIGTERM or SIGINT.
    void run();

    /// Ends run. Safe from another thread.
    void stop();

private:
    struct state;
    std::unique_ptr<state> parts;
};

} // namespace bilberrylead::load

#endif
