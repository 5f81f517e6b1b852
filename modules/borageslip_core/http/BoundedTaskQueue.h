#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <httplib.h>
#include <mutex>
#include <thread>
#include <vector>

namespace borageslip {

/** Connection pool of an HttpListener: starts threads on demand up to a limit.

    cpp-httplib holds a thread for each open connection. Connections over the limit run on a small overflow pool, whose
    threads answer isOverflowThread() with true so that the listener refuses their requests at once instead of letting
    them wait unseen. */
class BoundedTaskQueue final : public httplib::TaskQueue {
public:
    struct Limits {
        size_t maxThreads = 1024;
        size_t overflowThreads = 4;
    };

    explicit BoundedTaskQueue(Limits);
    ~BoundedTaskQueue() override;
    BoundedTaskQueue(const BoundedTaskQueue&) = delete;
    BoundedTaskQueue& operator=(const BoundedTaskQueue&) = delete;

    void enqueue(std::function<void()>) override;
    void shutdown() override;

    /** Whether the calling thread serves connections over the limit. */
    static bool isOverflowThread();

private:
    struct Pool {
        std::deque<std::function<void()>> jobs;
        size_t idleThreads = 0;
        std::vector<std::thread> threads;
        std::condition_variable wake;
    };

    enum class Role {
        Regular,
        Overflow,
    };

    void startThread(Pool&, Role);
    void work(Pool&);

    const Limits m_limits;
    std::mutex m_mutex;
    bool m_isShutDown = false;
    Pool m_regular;
    Pool m_overflow;
};

}
