#ifndef BILBERRYLEAD_REVIEW_STAND_INS_2_BACKEND_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_2_BACKEND_HPP

#include "review/stand_ins_2/record.hpp"
#include "review/stand_ins_2/sockets.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace bilberrylead::review
{

/// A sound backend: runs what is meant for it, and nothing else.
class backend
{
public:
    /// Takes the place of the sound answer; true if it has answered.
    using spoiler = std::function<bool(connection&, http_message const&)>;

    backend(std::string id, std::string service, address const& at,
            milliseconds work, record& lines);

    std::string const& id() const
    {
        return this->name;
    }

    std::string const& service() const
    {
        return this->of_service;
    }

    address where() const
    {
        return this->port->where();
    }

    /// Requests that it began to work on.
    unsigned runs() const
    {
        return this->run_count;
    }

    /// Says in its answers that it leaves.
    void leave()
    {
        this->leaving = true;
    }

    void spoil_with(spoiler wanted)
    {
        this->spoil = std::move(wanted);
    }

    /// The headers of a sound answer to a request.
    std::map<std::string, std::string>
    answer_headers(http_message const& request) const;

private:
    void serve(connection& from);

    std::string name;
    std::string of_service;
    milliseconds work;
    record& lines;
    spoiler spoil;
    std::atomic<unsigned> run_count{0};
    std::atomic<bool> leaving{false};
    std::unique_ptr<listener> port;
};

} // namespace bilberrylead::review

#endif
