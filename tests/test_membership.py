"""Tests of which sources stop new work for an endpoint, and of the fleet."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from primrosewood.clock import SystemClock
from primrosewood.fleet import Fleet
from primrosewood.gen_process import Timing
from primrosewood.gen_stored import MemberRecord
from primrosewood.gen_wire import Load
from primrosewood.membership import EndpointView, Veto, VmState
from primrosewood.settings import SettingsStore


def make_member(name='e1', leaving=False, domain='d1'):
    return MemberRecord(name, name, 't', 's', domain, 'i1', 'ws://x', leaving)


def make_view(**changes):
    view = EndpointView(make_member(), linked=True, heard_at=100.0)
    for name, change in changes.items():
        setattr(view, name, change)
    return view


class VetoTest(unittest.TestCase):
    """Any source that can be read may stop new work."""

    def veto(self, view, now=100.5, out=False):
        return view.veto(now, 2.5, out)

    def test_each_source_alone(self):
        leaving = Load(running=0, queued=0, limit=1, leaving=True)
        refusing = Load(running=0, queued=0, limit=1, refusing=True)
        cases = (
            (make_view(), {}, Veto.none),
            (make_view(), {'out': True}, Veto.domain_out),
            (make_view(linked=False), {}, Veto.not_linked),
            (make_view(), {'now': 103.0}, Veto.silent),
            (make_view(vm_state=VmState.leaving), {}, Veto.vm_leaving),
            (make_view(vm_state=VmState.gone), {}, Veto.vm_leaving),
            (
                make_view(member=make_member(leaving=True)),
                {},
                Veto.record_leaving,
            ),
            (make_view(load=leaving), {}, Veto.says_leaving),
            (make_view(load=refusing), {}, Veto.refusing),
        )
        for view, arguments, veto in cases:
            with self.subTest(veto=veto):
                self.assertEqual(veto, self.veto(view, **arguments))

    def test_expired_lease_alone_does_not_mean_dead(self):
        """An endpoint is paused past its lease or cut off from the service.

        It still answers on its connection, so its requests continue there.
        """
        view = make_view(leased=False)
        self.assertEqual(Veto.none, self.veto(view))
        self.assertFalse(view.is_dead(100.5, 2.5))
        self.assertTrue(view.is_dead(110.0, 2.5))

    @settings(derandomize=True, max_examples=200)
    @given(
        st.lists(
            st.sampled_from(
                [
                    'link',
                    'cut',
                    'hear',
                    'lapse',
                    'renew',
                    'leave',
                    'vm_leaves',
                    'vm_live',
                    'wait',
                ]
            ),
            max_size=25,
        )
    )
    def test_usable_means_all_agree(self, events):
        """Observers change in any order, each with its own lag."""
        view = make_view()
        now = 100.0
        for event in events:
            now += 3.0 if event == 'wait' else 0.1
            if event == 'link':
                view.linked, view.heard_at = True, now
            elif event == 'cut':
                view.linked = False
            elif event == 'hear':
                view.heard_at = now if view.linked else view.heard_at
            elif event in {'lapse', 'renew'}:
                view.leased = event == 'renew'
            elif event == 'leave':
                view.member = make_member(leaving=True)
            elif event.startswith('vm'):
                view.vm_state = (
                    VmState.leaving if event == 'vm_leaves' else VmState.live
                )
            usable = view.veto(now, 2.5, False) is Veto.none
            stopped = (
                not view.linked
                or now - view.heard_at > 2.5
                or (view.leased and view.member.leaving)
                or view.vm_state is VmState.leaving
            )
            self.assertEqual(not stopped, usable)


class FleetTest(unittest.TestCase):
    """VM lists that lag, and dead members."""

    def setUp(self):
        self.fleet = Fleet('entry-1', SettingsStore(), SystemClock(), Timing())
        for name in ('e1', 'e2'):
            self.fleet.apply_member(make_member(name))
        self.fleet.rebuild()

    def state(self, name):
        return self.fleet.views[name].vm_state

    def test_new_vm_that_is_not_on_the_list_yet(self):
        self.fleet.apply_vm_list({'e1': VmState.live})
        self.assertEqual(VmState.unseen, self.state('e2'))

    def test_vm_that_is_removed_from_the_list(self):
        self.fleet.apply_vm_list({'e1': VmState.live, 'e2': VmState.live})
        self.fleet.apply_vm_list({'e1': VmState.live})
        self.assertEqual(VmState.gone, self.state('e2'))
        self.fleet.apply_vm_list({'e1': VmState.live, 'e2': VmState.live})
        self.assertEqual(VmState.live, self.state('e2'))

    def test_dead_members_are_removed(self):
        self.fleet.apply_pair('primrosewood/members/e2', None)
        self.fleet.rebuild()
        self.assertEqual(['e1'], list(self.fleet.views))
