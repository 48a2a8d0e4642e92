#include "bilberrylead/core/log_sink.hpp"

#include <criterion/criterion.h>

#include <array>
#include <csignal>
#include <string>
#include <unistd.h>

using bilberrylead::log_sink;

namespace
{

/// A pipe that is read only when the test calls read().
struct piped_log
{
    piped_log()
    {
        cr_assert_eq(::pipe(this->ends.data()), 0);
    }

    ~piped_log()
    {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }

    piped_log(piped_log const&) = delete;
    piped_log& operator=(piped_log const&) = delete;

    std::string read()
    {
        std::string text(1 << 20, ' ');
        ssize_t const count = ::read(this->ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }

    std::array<int, 2> ends{};
};

} // namespace

// The reader of the log stalls. The process must continue to serve: lines are
// dropped and counted, and the count is written once the reader resumes.
Test(log_sink, stalled_reader_does_not_block_the_writer)
{
    piped_log pipe;
    log_sink sink(pipe.ends[1]);
    cr_assert(sink.make_non_blocking());
    std::string const line(1000, 'x');
    for (int count = 0; count < 2000; ++count)
    {
        sink.write(line);
    }
    cr_expect_gt(sink.dropped(), 0U);

    std::string text;
    for (int round = 0; round < 20; ++round)
    {
        text += pipe.read();
        sink.write("after");
    }
    cr_expect(text.find("\"lines_dropped\":") != std::string::npos);
    cr_expect(text.find("\nafter\n") != std::string::npos);
}

Test(log_sink, line_that_fits_is_written_at_once)
{
    piped_log pipe;
    log_sink sink(pipe.ends[1]);
    cr_assert(sink.make_non_blocking());
    sink.write("one");
    sink.write("two");
    cr_expect(pipe.read() == "one\ntwo\n");
    cr_expect_eq(sink.dropped(), 0U);
}

// The reader of the log has closed its end and will not return: buffered lines
// are discarded instead of filling the buffer.
Test(log_sink, closed_reader_leaves_no_buffered_lines)
{
    std::array<int, 2> ends{};
    cr_assert_eq(::pipe(ends.data()), 0);
    ::signal(SIGPIPE, SIG_IGN);
    log_sink sink(ends[1]);
    cr_assert(sink.make_non_blocking());
    ::close(ends[0]);
    for (int count = 0; count < 2000; ++count)
    {
        sink.write(std::string(1000, 'x'));
    }
    cr_expect_eq(sink.dropped(), 0U);
    ::close(ends[1]);
}
