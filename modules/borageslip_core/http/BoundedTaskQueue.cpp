#include "BoundedTaskQueue.h"

#include <utility>

namespace borageslip {

namespace {
    thread_local bool s_isOverflowThread = false;
}

BoundedTaskQueue::BoundedTaskQueue(Limits limits)
    : m_limits(limits)
{
}

BoundedTaskQueue::~BoundedTaskQueue()
{
    shutdown();
}

bool BoundedTaskQueue::isOverflowThread()
{
    return s_isOverflowThread;
}

void BoundedTaskQueue::enqueue(std::function<void()> job)
{
    const std::lock_guard lock(m_mutex);
    const bool hasRegularCapacity = m_regular.idleThreads > m_regular.jobs.size() || m_regular.threads.size() < m_limits.maxThreads;
    auto& pool = hasRegularCapacity ? m_regular : m_overflow;
    const auto role = hasRegularCapacity ? Role::Regular : Role::Overflow;
    const size_t maxThreads = hasRegularCapacity ? m_limits.maxThreads : m_limits.overflowThreads;
    pool.jobs.push_back(std::move(job));
    if (pool.idleThreads < pool.jobs.size() && pool.threads.size() < maxThreads)
        startThread(pool, role);
    pool.wake.notify_one();
}

void BoundedTaskQueue::startThread(Pool& pool, Role role)
{
    pool.threads.emplace_back([this, &pool, role] {
        s_isOverflowThread = role == Role::Overflow;
        work(pool);
    });
}

void BoundedTaskQueue::work(Pool& pool)
{
    std::unique_lock lock(m_mutex);
    while (true) {
        ++pool.idleThreads;
        pool.wake.wait(lock, [&] { return !pool.jobs.empty() || m_isShutDown; });
        --pool.idleThreads;
        if (pool.jobs.empty())
            return;
        auto job = std::move(pool.jobs.front());
        pool.jobs.pop_front();
        lock.unlock();
        job();
        lock.lock();
    }
}

void BoundedTaskQueue::shutdown()
{
    std::vector<std::thread> threads;
    {
        const std::lock_guard lock(m_mutex);
        m_isShutDown = true;
        for (auto* pool : { &m_regular, &m_overflow }) {
            for (auto& thread : pool->threads)
                threads.push_back(std::move(thread));
            pool->threads.clear();
            pool->wake.notify_all();
        }
    }
    for (auto& thread : threads)
        thread.join();
}

}
