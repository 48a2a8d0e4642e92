#ifndef BILBERRYLEAD_REVIEW_STAND_INS_2_BACKEND_HPP
#define BILBERRYLEAD_REVIEW_STAND_INS_2_BACKEND_HPP

#include "review/stand_ins_2/record.hpp"
#include "review/stand_ins_2/sockets.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
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

    ~backend();
    backend(backend const&) = delete;
    backend& operator=(backend const&) = delete;

    std::string id() const;

    std::string const& service() const
    {
        return this->of_service;
    }

    address where() const
    {
        return this->at;
    }

    /// From now on a request to this target crashes it; it is back after that
    /// time, under the id that it had or under a new one.
    void crash_on(std::string target, milliseconds away, bool keeps_id);
    /// Ends and starts again after that time.
    void restart(milliseconds away, bool keeps_id);
    /// True while it has ended and not started again.
    bool is_away() const
    {
        return this->is_down;
    }

    /// Requests to that target that it began to work on.
    unsigned crashes() const
    {
        return this->crash_count;
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
    void serve_all(connection& from);
    void open();
    void crash();

    address at;
    std::string of_service;
    milliseconds work;
    mutable std::mutex mutex;
    std::string name;
    std::set<connection*> served;
    std::string crash_target;
    milliseconds away{};
    bool keeps_id = true;
    std::atomic<unsigned> crash_count{0};
    std::atomic<bool> is_down{false};
    record& lines;
    spoiler spoil;
    std::atomic<unsigned> run_count{0};
    std::atomic<bool> leaving{false};
    std::unique_ptr<listener> port;
};

} // namespace bilberrylead::review

#endif
