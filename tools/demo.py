#!/usr/bin/env python3
"""Demonstrates the main use cases: a chat that continues while a router is replaced, and a booking that is repeated."""

import json
import sys
import time

import fleet as fleets


def booking(port, key):
    headers = {"Authorization": f"Bearer {fleets.Fleet.account_key('account-1')}", "Content-Type": "application/json", "Idempotency-Key": key}
    return fleets.request(port, "POST", "/services/booking/bookings", {"station": "van-7", "bottles": 2}, headers)


def main():
    with fleets.Fleet(routers=3, engines=3, limits={"directory_lifetime_s": 2}) as fleet:
        print("starting 3 routers in 3 failure domains, 3 engines, 1 booking service and the platform")
        fleet.start()
        status, directory = fleets.request_json(fleet.routers[0].callers, "GET", "/v1/entries?count=3")
        print(f"directory: {[entry['address'] for entry in directory['entries']]}, lifetime {directory['lifetime_s']} s")
        text = "Draft the compliance report for the eyewash stations of plant 4. " * 40
        engines, cached = [], []
        for turn in range(3):
            entries = fleets.request_json(next(r for r in fleet.routers if r.is_ready()).callers, "GET", "/v1/entries?count=3")[1]["entries"]
            port = int(entries[0]["address"].rsplit(":", 1)[1])
            answer = fleets.chat(port, "account-1", fleets.chat_body("report-plant-4", text))
            if not answer["whole"]:
                print(f"turn {turn + 1} failed: {answer}")
                return 1
            usage = answer["usage"]
            reused = usage["prompt_tokens_details"]["cached_tokens"]
            engines.append(answer["engine"])
            cached.append(reused)
            print(f"turn {turn + 1}: through port {port}, engine {answer['engine']}, {usage['completion_tokens']} tokens, {reused} of {usage['prompt_tokens']} prompt tokens reused")
            text += answer["text"] + " Add the inspection notes of today. "
            if turn == 0:
                router = next(r for r in fleet.routers if r.callers == port)
                code = router.stop()
                print(f"replaced router {router.id}: planned stop ended with exit code {code}")
                router.start()
                fleet.wait_ready()
            time.sleep(0.5)
        port = fleet.routers[0].callers
        ticket = fleets.request_json(port, "GET", "/v1/entries")[1]["tickets"][0]
        first = booking(port, ticket)
        repeat = booking(fleet.routers[2].callers, ticket)
        runs = [run for name in fleet.service_ports for run in fleet.records(name)["executions"]]
        print(f"booking: status {first[0]}, repeat through another router: status {repeat[0]}, same answer: {first[2] == repeat[2]}, runs recorded by the service: {len(runs)}")
        is_good = len(set(engines)) == 1 and cached[1] > 0 and cached[2] > 0 and len(runs) == 1 and first[0] < 300 and first[2] == repeat[2]
        print("main job: ok" if is_good else "main job: FAILED")
        return 0 if is_good else 1


if __name__ == "__main__":
    sys.exit(main())
